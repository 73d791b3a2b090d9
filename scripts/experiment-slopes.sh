#!/usr/bin/env bash
# Starts a cluster on loopback that is sized like Blumenwagen's and measures the capacity slopes: how processor time,
# memory and transferred bytes grow with size, against the cluster and in process. Prints the table to standard output
# and writes slopes.json to $WMUX_RESULTS. The processes of the cluster are stopped by process ID.
#
#   scripts/experiment-slopes.sh [MEASUREMENTS]    a comma-separated list
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
