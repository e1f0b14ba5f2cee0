#!/usr/bin/env bash
# Fails when a name of the users' platform is used outside its adapter: only
# platform/, its tests and deploy/ may use them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Ebonyvale-[A-Z]|op/config|op/version|"servers/|/v1/(kv-|order|report|ready|hold|lepu)|apiKeys|trafficSplit|ratePerS|kvCapacityTokens|fencingToken|routeType'
found=$(git grep -nE "$names" -- src tests/decisions tests/net tests/common \
  tests/daemon tests/load tests/fuzz || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
lines=$(git ls-files platform | grep -E '\.(cpp|h)$' | xargs cat | wc -l)
all=$(git ls-files src platform | grep -E '\.(cpp|h)$' | xargs cat | wc -l)
echo "platform/: $lines of $all lines"
