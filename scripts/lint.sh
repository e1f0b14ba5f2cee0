#!/usr/bin/env bash
# Runs clang-tidy over all sources: lint.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
git ls-files 'src/*.cpp' 'platform/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build"
