#!/usr/bin/env bash
# Installs all Debian packages that building, testing and linting need.
set -euo pipefail

packages=(
  g++ cmake ninja-build pkg-config clang-format clang-tidy python3
  libboost-dev libboost-program-options-dev libcriterion-dev libevent-dev
  libhttp-parser-dev libmsgpack-cxx-dev libnghttp2-dev libopentracing-dev libsimdjson-dev
  libspdlog-dev libssl-dev libtomlplusplus-dev libxxhash-dev
  libzstd-dev
  nlohmann-json3-dev prometheus-cpp-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
    grep -q '^install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq "${missing[@]}"
