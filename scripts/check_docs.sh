#!/usr/bin/env bash
# Fails when an error kind of the source has no row in docs/ERRORS.md, or a
# row there has another status or `ran` than the table in the source.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import re, sys
source = open("src/common/error_kind.cpp").read()
rows = re.findall(r'\{\w+,\s*"(\w+)",\s*(\d+),\s*Ran(\w+),', source)
docs = dict((k, (s, r)) for k, s, r in
            re.findall(r"^\| (\w+) \| (\d+) \| (\w+) \|", open("docs/ERRORS.md").read(), re.M))
bad = [k for k, s, r in rows if docs.get(k) != (s, r.lower())]
bad += [k for k in docs if k not in {row[0] for row in rows}]
if not rows or bad:
    sys.exit(f"docs/ERRORS.md disagrees with the source: {bad}")
print(f"docs/ERRORS.md: {len(rows)} kinds agree")
P
