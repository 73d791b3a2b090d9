# Functions that start and stop clusters on loopback, for the experiment scripts. Source this file from the root of the
# repository after setting $results, the directory for result files.
work=$(mktemp -d)
names=()
pids=()
# Stops the control members last, because entry VMs deregister with them when they stop.
stop_cluster() {
  local pattern n
  for pattern in '^(entry|fleet)-' '^control-'; do
    for n in "${!names[@]}"; do
      [[ ! ${names[$n]} =~ $pattern ]] || kill "${pids[$n]}" 2>/dev/null || true
    done
    for n in "${!names[@]}"; do
      [[ ! ${names[$n]} =~ $pattern ]] || wait "${pids[$n]}" 2>/dev/null || true
    done
  done
  names=()
  pids=()
}
finish() {
  stop_cluster
  rm -rf "$work"
}
trap finish EXIT
go build -o "$work/" ./cmd/...
mkdir -p "$results"
: >"$results/processes.log"

start() { # NAME COMMAND...
  names+=("$1")
  "${@:2}" >>"$results/processes.log" 2>&1 & pids+=($!)
}

start_cluster() { # DIR, as written by "wmux-load shape"
  local file name control
  for file in "$1"/control-*.toml; do
    name=$(basename "$file" .toml)
    [ "$name" != control-1 ] || "$work/wmux-control" bootstrap --settings "$file" >>"$results/processes.log"
    start "$name" "$work/wmux-control" run --settings "$file"
  done
  for file in "$1"/entry-*.toml; do
    start "$(basename "$file" .toml)" "$work/wmux-entry" --settings "$file"
  done
  control=$(sed -n 's/^control_addresses = \[\(.*\)\]/\1/p' "$1/entry-1.toml" | tr -d '" ')
  for file in "$1"/control-*.toml; do
    name=$(basename "$file" .toml)
    [ "$name" = control-1 ] || "$work/wmuxctl" --control "$control" control add "$name" \
      "$(sed -n 's/^rpc_address = "\(.*\)"/\1/p' "$file")" >>"$results/processes.log"
  done
  for _ in $(seq 50); do
    "$work/wmuxctl" --control "$control" apply --file "$1/inventory.toml" --base 0 --change experiment \
      >>"$results/processes.log" 2>&1 && break
    sleep 0.2
  done
  for file in "$1"/fleet-*.toml; do
    start "$(basename "$file" .toml)" "$work/wmux-upstream" fleet --file "$file"
  done
  for name in "${!names[@]}"; do echo "${names[$name]} ${pids[$name]}"; done >"$1/processes"
}
