#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, after the build of
# the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
for play in review/*/play.ts; do
  case_name=$(basename "$(dirname "$play")")
  node_modules/.bin/esbuild "$play" --bundle --platform=node --format=cjs \
    --log-level=warning --outfile="target/review/$case_name.cjs"
done
