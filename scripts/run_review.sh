#!/usr/bin/env bash
# Builds the cases of the review and the daemon as their readers do, and runs the
# cases that take seconds, here and in a copy of the tree in another folder:
# run_review.sh
set -euo pipefail
cd "$(dirname "$0")/.."
./review/build.sh
bash -c "$(python3 -c 'import tomllib
print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"

work=$(mktemp -d)
mkdir "$work/records"
for case in 2 3; do cp "review/$case/record.txt" "$work/records/$case"; done
# The records in the tree are those of the review.
cleanup() {
  for case in 2 3; do cp "$work/records/$case" "review/$case/record.txt"; done
  rm -rf "$work" ${logs:+"$logs"}
}
trap cleanup EXIT

run() { # tree case trouble
  local code=0
  TROUBLE=$3 "$1/review/$2/run.sh" || code=$?
  echo "review/$2 in $1, TROUBLE=$3: exit code $code, $(tail -n 1 "$1/review/$2/record.txt")"
  return $code
}

run . 2 1
run . 2 0
run . 3 1

copy="$work/a copy"
mkdir -p "$copy/target" "$copy/review/build"
git ls-files -z deploy review | tar -c --null -T - | tar -x -C "$copy"
cp target/ebonyvaled "$copy/target/"
cp review/build/case-2 "$copy/review/build/"
# Tells settings that were made from the copy's template.
echo "# a copy" >> "$copy/deploy/gateway.toml.template"
KEEP=1 run "$copy" 2 1
logs=$(sed -n 's/.*logs in //p' "$copy/review/2/record.txt")
grep -q "# a copy" "$logs"/*.toml || {
  echo "review/2 in $copy used the settings template of another tree" >&2
  exit 1
}
