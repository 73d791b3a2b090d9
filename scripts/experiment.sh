#!/usr/bin/env bash
# Runs the load experiment on loopback. For each user and variant it starts control members, entry VMs and stand-ins in
# the numbers of the user's deployment, runs the scenarios, and stops the processes by process ID. Prints the comparison
# to standard output and writes the result files to $WMUX_RESULTS.
#
#   scripts/experiment.sh [USERS] [VARIANTS] [SCENARIOS]    each a comma-separated list
set -euo pipefail
cd "$(dirname "$0")/.."
users=${1:-blumenwagen,safari}
variants=${2:-owner,direct,random,least-outstanding,no-hedging}
scenarios=${3:-rest,slow,spike,shrink}
results=${WMUX_RESULTS:-results}
. scripts/experiment-lib.sh

files=()
for user in ${users//,/ }; do
  for variant in ${variants//,/ }; do
    dir=$work/$user-$variant
    "$work/wmux-load" shape --user "$user" --variant "$variant" --port "${WMUX_EXPERIMENT_PORT:-22000}" \
      --control "${WMUX_CONTROLS:-3}" --dir "$dir"
    start_cluster "$dir"
    # shellcheck disable=SC2086
    if "$work/wmux-load" experiment --user "$user" --variant "$variant" --cluster "$dir/cluster.json" \
      --scenario "$scenarios" --out "$results/$user-$variant.json" ${WMUX_LOAD_FLAGS:-}; then
      files+=("$results/$user-$variant.json")
    else
      echo "no result for $user $variant, see $results/processes.log" >&2
    fi
    stop_cluster
  done
done
echo "Scale: full number of services, upstreams, slots and connections of design section 1.5 and 8 entry VMs on one"
echo "machine with $(nproc) processors; service time log-normal with median 20 ms and sigma 0.4; the one-way delay"
echo "between failure domains is applied to each call of an upstream, and none between entry VMs."
echo
"$work/wmux-load" compare --plots "$results" "${files[@]}"
