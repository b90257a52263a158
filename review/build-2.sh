#!/bin/bash
# Builds the stand-ins that the scripts of this review start. Run it after the
# build of the deploy file. It adds nothing outside `target/`.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild platform/src/stand_ins/platform_fleet.ts --bundle \
  --platform=node --format=cjs --log-level=warning \
  --outfile=target/review-2/platform_fleet.cjs
