#!/usr/bin/env bash
# Installs the packages for building, testing and linting, unless all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache make pkg-config clang-format clang-tidy curl git
  libabsl-dev libgrpc++-dev protobuf-compiler protobuf-compiler-grpc libprotobuf-dev
  prometheus-cpp-dev libcurl4-openssl-dev libcxxopts-dev
  libboost-log-dev libtomlplusplus-dev nlohmann-json3-dev librapidcheck-dev
  libxxhash-dev libssl-dev zlib1g-dev libgtest-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
    missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
