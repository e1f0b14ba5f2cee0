#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0: without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
Program=../build/case-$(basename "$PWD")
[ -x "$Program" ] && [ -x ../../target/ebonyvaled ] || exit 2
timeout 120 "$Program" ../../target/ebonyvaled record.txt "${TROUBLE:-1}"
Code=$?
[ $Code -eq 0 ] || [ $Code -eq 1 ] || exit 2
exit $Code
