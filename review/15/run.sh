#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the crash out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/lab ] && [ -x target/siskindeal ] || exit 2
exec timeout -k 5 110 target/review-3/lab deadly-stream review/15/record.txt
