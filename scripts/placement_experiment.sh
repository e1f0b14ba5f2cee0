#!/usr/bin/env bash
# Compares placement policies of real daemons with fake engines:
#   placement_experiment.sh [build folder] [seeds] [seconds] [policies] [cells]
# Prints one line for each policy and cell, medians over the seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seeds=${2:-"1 2 3 4 5"}
seconds=${3:-10}
policies=${4:-"prefix least_loaded consistent_hash random"}
cells=${5:-"calm shift crash five_x batch"}
engines=9
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

port() { awk -v name="$2" '$1 == name {print $2}' "$1"; }
wait_for() {
  for _ in $(seq 200); do [ -s "$1" ] && return; sleep 0.05; done
  echo "$1 did not appear" >&2; exit 1
}

write_note() { # directory
  echo 'id = "start"'
  printf '[[added.failure_domain]]\nname = "d"\nregion = "r"\nslots = 3\n'
  for team in 1 2 3 4 5; do
    printf '[[added.team]]\nname = "team-%s"\nrate = 100000000\nburst = 100000000\n' $team
    printf '[[added.key]]\nid = "key-%s"\nteam = "team-%s"\nhash = "%s"\n' $team $team \
      "$("$build/ebonyvalectl" key hash --key-secret k --key "experiment-key-$team" | awk '/hash/{print $2}')"
  done
  printf '[[added.model]]\nname = "manuals"\nversion = "v1"\n'
  for i in $(seq $engines); do
    printf '[[added.upstream]]\nname = "engine-%s"\naddress = "127.0.0.1"\nport = %s\ndomain = "d"\nmodels = ["manuals"]\nconcurrency = 16\n' \
      "$i" "$(port "$1/fakes" "engine-$i")"
  done
}

run_one() { # policy cell seed -> result file
  local dir="$work/$1-$2-$3" pids=() targets=() list="["
  mkdir "$dir"
  "$build/ebonyvale-fakes" --set engines.count=$engines --set store=true \
    --set engines.cache_pieces=128 --ports "$dir/fakes" &
  pids+=($!)
  wait_for "$dir/fakes"
  write_note "$dir" > "$dir/note.toml"
  for i in 1 2 3; do
    "$build/ebonyvaled" --set instance.name="i$i" --set instance.domain=d \
      --set instance.region=r --set secrets.key_secret=k \
      --set secrets.admin_token=a --set secrets.fleet_secret=f \
      --set listen.caller_port=0 --set listen.admin_port=0 \
      --set listen.peer_port=0 --set log.level=error \
      --set limits.start_tokens=100 --set configuration.file="$dir/note.toml" \
      --set placement.policy="$1" --set platform.list_address=127.0.0.1 \
      --set platform.list_port="$(port "$dir/fakes" list)" --ports "$dir/i$i" &
    pids+=($!)
    wait_for "$dir/i$i"
    [ "$i" = 1 ] || list+=','
    list+="{\"targets\":[\"127.0.0.1:$(port "$dir/i$i" peer)\"],\"labels\":{\"instance\":\"i$i\",\"domain\":\"d\",\"region\":\"r\"}}"
    targets+=("\"127.0.0.1:$(port "$dir/i$i" caller)\"")
  done
  "$build/ebonyvale-load" --publish "127.0.0.1:$(port "$dir/fakes" list)" --body "$list]"
  sleep 2.5 # until the list has been read and the links are connected
  local extra=()
  case $2 in
    shift) extra=(--set prompts.shift_seconds=3) ;;
    five_x) extra=(--set first_key_factor=5) ;;
    batch) extra=(--set batch_percent=30) ;;
  esac
  "$build/ebonyvale-load" --set "targets=[$(IFS=,; echo "${targets[*]}")]" \
    --set 'keys=["experiment-key-1","experiment-key-2","experiment-key-3","experiment-key-4","experiment-key-5"]' \
    --set seed="$3" --set seconds="$seconds" --set warm_up_seconds=2 \
    --set requests_per_second=80 --set prompts.manuals=24 \
    --set report.json="$dir/result" "${extra[@]}" > /dev/null 2>&1 &
  local load=$!
  if [ "$2" = crash ]; then
    for at in $(seq 2 5 $((seconds - 1))); do
      sleep $((at == 2 ? 2 : 5))
      "$build/ebonyvale-load" --publish "127.0.0.1:$(port "$dir/fakes" engine-$((at % engines + 1)))" \
        --body '{"crash_ms":500}'
    done
  fi
  wait $load
  for pid in "${pids[@]}"; do kill -INT "$pid"; kill -INT "$pid"; done 2> /dev/null || true
  for pid in "${pids[@]}"; do kill "$pid" 2> /dev/null || true; done
  wait "${pids[@]}" 2> /dev/null || true
}

printf '%-8s %-16s %6s %6s %6s %8s %8s %9s %10s\n' \
  cell policy whole broken refused hit p50_ms p99_ms recomputed
for cell in $cells; do
  for policy in $policies; do
    for seed in $seeds; do run_one "$policy" "$cell" "$seed"; done
    python3 - "$cell" "$policy" "$work/$policy-$cell-"*/result <<'P'
import json, statistics, sys
runs = [json.load(open(path)) for path in sys.argv[3:]]
def median(name): return statistics.median(run[name] for run in runs)
refused = statistics.median(sum((run["refusals"] or {}).values()) for run in runs)
print("%-8s %-16s %6d %6d %6d %8.3f %8.1f %9.1f %10d" % (
    sys.argv[1], sys.argv[2], median("whole"), median("broken"), refused,
    median("hit_rate"), median("first_token_ms_p50"),
    median("first_token_ms_p99"), median("recomputed_tokens")), flush=True)
P
  done
done
