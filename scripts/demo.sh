#!/usr/bin/env bash
# Runs siskindeal end to end on loopback: stand-ins, 3 entries and 4 agents in 2
# places, one target, a rollout during which an agent is killed, and client
# requests. Prints a report; exits 0 only if every check passed.
set -uo pipefail
build=$(cd "$1" && pwd)
siskindeal=$build/siskindeal
standin=$build/standin
work=$(mktemp -d)
host=127.0.0.1

weights_bytes=$((32 << 20))
chunk_bytes=$((1 << 20))
origin_rate=$((8 << 20)) # bytes per second: 4 copies in 16 s
engine_rate=$((16 << 20))
vms=3
target_timeout=60s
chats=30
bookings=20

declare -A pid=()
failures=()

fail() { failures+=("$1"); echo "demo: $1" >&2; }

# Sends SIGTERM to all named processes, then waits for each to exit. A process
# that has to be killed or exits with an error fails the demo.
stop() {
  local name tries
  for name in "$@"; do
    kill -TERM "${pid[$name]}" 2> /dev/null
  done
  for name in "$@"; do
    for ((tries = 0; tries < 150; tries++)); do
      kill -0 "${pid[$name]}" 2> /dev/null || break
      sleep 0.1
    done
    if kill -0 "${pid[$name]}" 2> /dev/null; then
      kill -KILL "${pid[$name]}"
      fail "$name didn't stop"
    fi
    wait "${pid[$name]}" || fail "$name ended with $?"
    unset "pid[$name]"
  done
}

finish() {
  local name
  for name in "${!pid[@]}"; do
    kill -KILL "${pid[$name]}" 2> /dev/null
  done
  wait 2> /dev/null
  if [ ${#failures[@]} -eq 0 ]; then rm -rf "$work"; else echo "demo: logs are in $work" >&2; fi
}
trap finish EXIT
trap 'exit 1' INT TERM

give_up() {
  fail "$1"
  exit 1
}

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >> "$work/$name.out" 2>> "$work/$name.log" &
  pid[$name]=$!
}

declare -A used=()
free_port() { # sets $port
  while :; do
    port=$((20000 + RANDOM % 10000))
    [ -n "${used[$port]:-}" ] && continue
    (exec 3<> "/dev/tcp/$host/$port") 2> /dev/null && continue
    used[$port]=1
    return
  done
}

start_standin() { # NAME ROLE OPTIONS...; sets ${url[NAME]}
  local name=$1 tries
  shift
  start "$name" "$standin" "$@"
  for ((tries = 0; tries < 100; tries++)); do
    port=$(sed -n 's/^listening on //p' "$work/$name.out" 2> /dev/null)
    [ -n "$port" ] && break
    sleep 0.05
  done
  [ -n "$port" ] || give_up "$name doesn't listen"
  url[$name]=http://$host:$port
}

await_status() { # URL STATUS SECONDS
  local tries
  for ((tries = 0; tries < $3 * 10; tries++)); do
    [ "$(curl -s -o /dev/null -m 2 -w '%{http_code}' "$1")" = "$2" ] && return 0
    sleep 0.1
  done
  return 1
}

settings() { # VM PLACE; prints the sections common to all processes
  cat << END
[node]
vm = "$1"
place = "$2"
rpc = "${rpc[$1]}"
http = "${http[$1]}"
entries = ["${rpc[entry-1]}", "${rpc[entry-2]}", "${rpc[entry-3]}"]

[auth]
active_key = "demo"

[auth.keys]
demo = "a-secret-of-the-demo-only"

[platform]
url = "${url[platform]}"
END
}

declare -A url=() rpc=() http=() place=() upstream=()
place=([entry-1]=kingston [entry-2]=kingston [entry-3]=montego
  [caddie-1]=kingston [caddie-2]=kingston [caddie-3]=montego [teesheet-1]=montego)
entries=(entry-1 entry-2 entry-3)
engines=(caddie-1 caddie-2 caddie-3)
agents=("${engines[@]}" teesheet-1)

began=$SECONDS
mkdir "$work/weights"
head -c "$weights_bytes" /dev/urandom > "$work/weights/booking.bin"
content=$(sha256sum "$work/weights/booking.bin" | cut -c1-8)

start_standin platform platform
start_standin store store --directory "$work/weights" --rate "$origin_rate"
for vm in "${engines[@]}"; do
  start_standin "engine-$vm" engine --rate "$engine_rate"
  upstream[$vm]=${url[engine-$vm]}
done
start_standin service-teesheet-1 service
upstream[teesheet-1]=${url[service-teesheet-1]}

for vm in "${entries[@]}" "${agents[@]}"; do
  free_port && rpc[$vm]=$host:$port
  free_port && http[$vm]=$host:$port
done
for vm in "${entries[@]}"; do
  {
    settings "$vm" "${place[$vm]}"
    printf '\n[routing]\nanswer_lifetime = "2s"\n\n[rollout]\nstore_url = "%s"\n' "${url[store]}"
  } > "$work/$vm.toml"
done
for vm in "${agents[@]}"; do
  kind=model service=caddie-llm
  [ "$vm" = teesheet-1 ] && kind=plain service=teesheet
  {
    settings "$vm" "${place[$vm]}"
    printf '\n[upstream]\nservice = "%s"\nurl = "%s"\nkind = "%s"\n' "$service" "${upstream[$vm]}" "$kind"
    [ "$kind" = model ] && printf 'checks_orders = true\n\n[weights]\nstore_url = "%s"\n' "${url[store]}"
  } > "$work/$vm.toml"
done
cat > "$work/client.toml" << END
[client]
entries = ["${http[entry-1]}", "${http[entry-2]}", "${http[entry-3]}"]

[auth]
active_key = "demo"

[auth.keys]
demo = "a-secret-of-the-demo-only"
END
cat > "$work/fleet.json" << 'END'
{"services": {"caddie-llm": {"kind": "model"}, "teesheet": {"kind": "plain"}},
 "classes": {"booking chat": {"service": "caddie-llm", "priority": 10}},
 "teams": {"pro-shops": {"weight": 2, "requests_per_second": 500, "burst": 500}}}
END
export SISKINDEAL_CLIENT=$work/client.toml
"$siskindeal" config check "$work"/entry-*.toml "$work"/caddie-*.toml "$work"/teesheet-*.toml \
  "$work/client.toml" "$work/fleet.json" > "$work/check.out" 2>&1 || {
  cat "$work/check.out" >&2
  give_up "the settings are refused"
}

curl -s -f -X POST "${url[store]}/standin/publish" \
  -d "{\"name\":\"booking-1\",\"file\":\"booking.bin\",\"chunk_size\":$chunk_bytes}" > /dev/null ||
  give_up "the release can't be published"
curl -s -f -X PUT "${url[platform]}/standin/objects/catalogue/booking%20chat" \
  -d '{"release":"booking-1","adapter":false}' > /dev/null || give_up "the catalogue can't be written"
for vm in "${entries[@]}" "${agents[@]}"; do
  case $vm in caddie-*) service=caddie-llm ;; teesheet-*) service=teesheet ;; *) service= ;; esac
  curl -s -f -X PUT "${url[platform]}/standin/vms/$vm?at_once=1" \
    -d "{\"place\":\"${place[$vm]}\",\"service\":\"$service\",\"rpc\":\"${rpc[$vm]}\"}" > /dev/null
done

for vm in "${entries[@]}"; do start "$vm" "$siskindeal" entry --config "$work/$vm.toml"; done
for vm in "${agents[@]}"; do start "$vm" "$siskindeal" agent --config "$work/$vm.toml"; done
for vm in "${entries[@]}" "${agents[@]}"; do
  await_status "http://${http[$vm]}/healthz" 200 10 || give_up "$vm doesn't start"
done
"$siskindeal" config set "$work/fleet.json" --version 0 > "$work/config.out" 2>&1 || {
  cat "$work/config.out" >&2
  give_up "the configuration is refused"
}
for vm in "${entries[@]}"; do
  await_status "http://${http[$vm]}/readyz" 200 15 || give_up "$vm isn't ready"
done

"$siskindeal" target create demo --class "booking chat" --vms $vms --within 1m > "$work/target.out" 2>&1 || {
  cat "$work/target.out" >&2
  give_up "the target is refused"
}
stated=$(date +%s%N)
echo "demo: target stated; $((weights_bytes >> 20)) MiB go to $vms engines"

# Kills an agent during its download and restarts it.
victim=caddie-2
staged() { curl -s -m 2 "${url[engine-$victim]}/standin/stats" | sed -n 's/.*"link_bytes":\([0-9]*\).*/\1/p'; }
for ((tries = 0; tries < 200; tries++)); do
  [ "$(staged)" -ge $((weights_bytes / 4)) ] && break
  sleep 0.05
done
kill -KILL "${pid[$victim]}"
{ wait "${pid[$victim]}"; } 2> /dev/null
unset "pid[$victim]"
echo "demo: $victim killed with $(($(staged) >> 20)) MiB through its engine's link"
start "$victim" "$siskindeal" agent --config "$work/$victim.toml"

"$siskindeal" target status demo --watch --timeout $target_timeout > "$work/status.out" 2>&1
met=$?
time_to_n=$((($(date +%s%N) - stated) / 1000000))
[ $met -eq 0 ] || {
  tail -20 "$work/status.out" >&2
  fail "the target isn't met"
}
for vm in "${engines[@]}"; do
  curl -s "${url[engine-$vm]}/standin/loaded" | grep -q "\"$content" || fail "$vm didn't load the release"
done

# Clients query any entry for the address to connect to.
entry=$(curl -s -m 5 "http://${http[entry-2]}/v1/entry" | sed -n 's/.*"entries":\[{"address":"\([^"]*\)".*/\1/p')
[ -n "$entry" ] || give_up "no entry is named to callers"
whole=0 streamed=0 booked=0
for ((i = 0; i < chats; i++)); do
  body="{\"model\":\"booking chat\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"tee time $i\"}]"
  answer=$(curl -s -m 20 -H 'x-team: pro-shops' -H 'content-type: application/json' \
    "http://$entry/v1/chat/completions" -d "$body}")
  [ "$(grep -o "$content\.[0-9a-f]*" <<< "$answer" | wc -l)" -eq 8 ] && whole=$((whole + 1))
  answer=$(curl -s -N -m 20 -H 'x-team: pro-shops' -H 'content-type: application/json' \
    "http://$entry/v1/chat/completions" -d "$body,\"stream\":true}")
  [ "$(grep -c "\"$content\.[0-9a-f]* \"" <<< "$answer")" -eq 8 ] &&
    grep -q '^data: \[DONE\]' <<< "$answer" && streamed=$((streamed + 1))
done
for ((i = 0; i < bookings; i++)); do
  for try in 1 2; do # retry with the same idempotency key
    status=$(curl -s -m 20 -o "$work/booked" -w '%{http_code}' -H 'x-team: pro-shops' \
      -H "idempotency-key: booking-$i" -H 'content-type: application/json' \
      "http://$entry/v1/services/teesheet/bookings" -d "{\"slot\":$i}")
    [ "$status" = 200 ] && [ $try -eq 1 ] && booked=$((booked + 1))
  done
done
executions=$(curl -s "${url[service-teesheet-1]}/standin/executions")
ran=$(grep -o '"booking-[0-9]*":1[,}]' <<< "$executions" | wc -l)
duplicates=$(grep -o '"booking-[0-9]*":[0-9]*' <<< "$executions" | grep -vc ':1$')
[ $whole -eq $chats ] || fail "$whole of $chats whole chats answered"
[ $streamed -eq $chats ] || fail "$streamed of $chats streamed chats answered"
[ $booked -eq $bookings ] || fail "$booked of $bookings bookings answered"
[ "$ran" -eq $bookings ] || fail "$ran of $bookings bookings ran once"
[ "$duplicates" -eq 0 ] || fail "$duplicates bookings ran more than once"
origin_bytes=$(curl -s "${url[store]}/standin/stats" | sed -n 's/.*"origin_bytes":\([0-9]*\).*/\1/p')

stop "${entries[@]}"
stop "${agents[@]}"
stop "${engines[@]/#/engine-}" service-teesheet-1 store platform

cat << END
target met              $([ $met -eq 0 ] && echo yes || echo no), $vms VMs, one agent killed meanwhile
time to $vms VMs           $((time_to_n / 1000)).$(printf %03d $((time_to_n % 1000))) s
copies from the origin  $((origin_bytes / weights_bytes)).$(printf %02d $((origin_bytes % weights_bytes * 100 / weights_bytes)))
chats answered          $whole whole and $streamed streamed of $chats each
bookings answered       $booked of $bookings, each asked twice
bookings run twice      $duplicates
whole demo              $((SECONDS - began)) s
END
[ ${#failures[@]} -eq 0 ]
