#!/usr/bin/env bash
# Builds the stand-ins of all review cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build -j8
