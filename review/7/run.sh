#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the kill of the leader.
cd "$(dirname "$0")/../.." || exit 2
for file in target/lovagepond.cjs target/review-2/platform_fleet.cjs; do
  [ -f "$file" ] || { echo "$file is missing: build it first"; exit 2; }
done
exec node review/7/case.mjs
