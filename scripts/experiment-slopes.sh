#!/usr/bin/env bash
# Starts one cluster of Blumenwagen's shape on loopback, measures the capacity slopes against it and in process, and
# ends its processes by id. The table goes to standard output, slopes.json to $WMUX_RESULTS.
#
#   scripts/experiment-slopes.sh [MEASUREMENTS]    a list separated by commas
set -euo pipefail
cd "$(dirname "$0")/.."
results=${WMUX_RESULTS:-results}
. scripts/experiment-lib.sh
dir=$work/slopes
"$work/wmux-load" shape --user blumenwagen --variant owner --port "${WMUX_EXPERIMENT_PORT:-22000}" \
  --control "${WMUX_CONTROLS:-3}" --dir "$dir"
start_cluster "$dir"
"$work/wmux-load" slopes --cluster "$dir/cluster.json" --processes "$dir/processes" --out "$results/slopes.json" \
  --measure "${1:-fan-out,rate,held,changes,views,renewals}"
