#!/usr/bin/env bash
# Runs all tests with the race detector and fixed seeds. Tests that KNOWN-RED.txt lists on lines "test: NAME" are
# skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|')
args=()
if [ -n "$skip" ]; then
  echo "skipped, see KNOWN-RED.txt: $skip"
  args=(-skip "$skip")
fi
go test -race -count=1 -timeout 8m "${args[@]}" ./...
