#!/usr/bin/env bash
# Runs the load experiment on loopback: for each user and variant it starts control members, entry VMs and stand-ins
# of the user's shape, runs the scenarios, and ends its processes by id. The comparison goes to standard output, the
# result files to $WMUX_RESULTS.
#
#   scripts/experiment.sh [USERS] [VARIANTS] [SCENARIOS]    each a list separated by commas
set -euo pipefail
cd "$(dirname "$0")/.."
users=${1:-blumenwagen,safari}
variants=${2:-owner,direct,random,least-outstanding,no-hedging}
scenarios=${3:-rest,slow,spike,shrink}
port=${WMUX_EXPERIMENT_PORT:-22000}
results=${WMUX_RESULTS:-results}
controls=${WMUX_CONTROLS:-1}
load_flags=${WMUX_LOAD_FLAGS:-}
work=$(mktemp -d)
pids=()
stop_cluster() {
  [ "${#pids[@]}" = 0 ] || kill "${pids[@]}" 2>/dev/null || true
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
finish() {
  stop_cluster
  rm -rf "$work"
}
trap finish EXIT
go build -o "$work/" ./cmd/...
mkdir -p "$results"

start() { "$@" 2>>"$results/processes.log" & pids+=($!); }
start_cluster() { # directory
  local file
  for file in "$1"/control-*.toml; do start "$work/wmux-control" --settings "$file"; done
  for file in "$1"/entry-*.toml; do start "$work/wmux-entry" --settings "$file"; done
  local control
  control=$(sed -n 's/^control_addresses = \[\(.*\)\]/\1/p' "$1/entry-1.toml" | tr -d '" ')
  for _ in $(seq 50); do
    "$work/wmuxctl" --control "$control" apply --file "$1/inventory.toml" --base 0 --change experiment >/dev/null 2>&1 && break
    sleep 0.2
  done
  for file in "$1"/fleet-*.toml; do start "$work/wmux-upstream" fleet --file "$file"; done
}

files=()
: >"$results/processes.log"
for user in ${users//,/ }; do
  for variant in ${variants//,/ }; do
    dir=$work/$user-$variant
    "$work/wmux-load" shape --user "$user" --variant "$variant" --port "$port" --control "$controls" --dir "$dir"
    start_cluster "$dir"
    # shellcheck disable=SC2086
    if "$work/wmux-load" experiment --user "$user" --variant "$variant" --cluster "$dir/cluster.json" \
      --scenario "$scenarios" --out "$results/$user-$variant.json" $load_flags; then
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
