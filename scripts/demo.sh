#!/usr/bin/env bash
# Runs fakes and three instances, sends traffic, withdraws a key, crashes an
# engine and prints the results: demo.sh [build folder]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
pids=()
cleanup() {
  # The fakes stop last: the routers write their refusals to the fake store
  # while they stop.
  for pid in "${pids[@]:1}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]:1}"; do wait "$pid" 2>/dev/null || true; done
  kill "${pids[0]}" 2>/dev/null || true
  wait
  rm -rf "$work"
}
trap cleanup EXIT

wait_for() { # file
  for _ in $(seq 200); do
    [ -s "$1" ] && return
    sleep 0.05
  done
  echo "$1 did not appear" >&2
  exit 1
}
port() { awk -v name="$2" '$1 == name {print $2}' "$1"; }

"$build/ebonyvale-fakes" --set engines.count=4 --set applications.count=1 \
  --set store=true --set engines.cache_pieces=256 --ports "$work/fakes" &
pids+=($!)
wait_for "$work/fakes"

export EBONYVALE_ADMIN_TOKEN=demo-admin
admins=()
targets=()
list='['
for i in 1 2 3; do
  domain=$([ $i -lt 3 ] && echo north || echo south)
  "$build/ebonyvaled" --set instance.name="router-$i" \
    --set instance.domain=$domain --set instance.region=demo \
    --set secrets.key_secret=demo-key --set secrets.admin_token=demo-admin \
    --set secrets.fleet_secret=demo-fleet \
    --set listen.caller_port=0 --set listen.admin_port=0 \
    --set listen.peer_port=0 --set log.level=warning \
    --set limits.start_tokens=100 --set stop.drain_lag_ms=0 \
    --set platform.address=127.0.0.1 \
    --set platform.port="$(port "$work/fakes" store)" \
    --set platform.list_address=127.0.0.1 \
    --set platform.list_port="$(port "$work/fakes" list)" \
    --ports "$work/router-$i" 2> "$work/router-$i.log" &
  pids+=($!)
  wait_for "$work/router-$i"
  admins+=(--admin "127.0.0.1:$(port "$work/router-$i" admin)")
  targets+=("\"127.0.0.1:$(port "$work/router-$i" caller)\"")
  [ $i -gt 1 ] && list+=','
  list+="{\"targets\":[\"127.0.0.1:$(port "$work/router-$i" peer)\"],"
  list+="\"labels\":{\"instance\":\"router-$i\",\"domain\":\"$domain\",\"region\":\"demo\"}}"
done
list+=']'

ctl() { "$build/ebonyvalectl" "$@" "${admins[@]}"; }
hash_of() { "$build/ebonyvalectl" key hash --key-secret demo-key --key "$1" | awk '/hash/{print $2}'; }

{
  echo 'id = "demo-start"'
  for domain in north south; do
    slots=$([ $domain = north ] && echo 2 || echo 1)
    printf '[[added.failure_domain]]\nname = "%s"\nregion = "demo"\nweight = %s\nslots = %s\n' \
      $domain "$slots" "$slots"
  done
  for team in fjordsaft tintworks; do
    printf '[[added.team]]\nname = "%s"\nrate = 200000\nburst = 1000000\n' $team
    printf '[[added.key]]\nid = "%s-1"\nteam = "%s"\nhash = "%s"\n' \
      $team $team "$(hash_of "$team-demo-key")"
  done
  printf '[[added.model]]\nname = "manuals"\nversion = "v1"\n'
  for i in 1 2 3 4; do
    printf '[[added.upstream]]\nname = "engine-%s"\naddress = "127.0.0.1"\nport = %s\ndomain = "%s"\nmodels = ["manuals"]\n' \
      $i "$(port "$work/fakes" engine-$i)" "$([ $i -lt 3 ] && echo north || echo south)"
  done
} > "$work/start.toml"
printf 'id = "demo-withdraw"\n[[withdrawn.key]]\nid = "tintworks-1"\n' > "$work/withdraw.toml"

"$build/ebonyvale-load" --publish "127.0.0.1:$(port "$work/fakes" list)" --body "$list"
ctl note apply "$work/start.toml" --wait 10

cat > "$work/load.toml" <<E2
targets = [$(IFS=,; echo "${targets[*]}")]
seconds = 8
requests_per_second = 30
keys = ["fjordsaft-demo-key", "tintworks-demo-key"]
E2
"$build/ebonyvale-load" --settings "$work/load.toml" &
load=$!
sleep 3
echo "withdrawing the key of tintworks"
ctl note apply "$work/withdraw.toml" --wait 10
sleep 1
echo "crashing engine-1 for two seconds"
"$build/ebonyvale-load" --publish "127.0.0.1:$(port "$work/fakes" engine-1)" \
  --body '{"crash_ms":2000}'
wait $load
echo
ctl status
echo "refusals of tintworks: $(ctl refusals --team tintworks | sort -u | wc -l) recorded"
