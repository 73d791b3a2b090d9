#!/usr/bin/env bash
# Runs each fault scenario in deploy/days against each site with the users' fleetbench, and prints the table of
# docs/measurements/troubles.md with one row for each scenario and site. The output of each run that broke a rule or has
# no result is kept in $KEEP. JOBS is the number of runs at a time.
#
#   FLEETBENCH=PATH scripts/troubles.sh SITE_FILE...
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?set FLEETBENCH to the bench program}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
run_scenario() { # SITE_FILE DAY_FILE OUTPUT
  timeout 300 "$FLEETBENCH" run "$1" "$2" --why "matrix of troubles: $(basename "$2" .toml)" >"$3" 2>&1 || true
}
export -f run_scenario
export FLEETBENCH
"$FLEETBENCH" build >/dev/null
for site in "$@"; do
  for day in deploy/days/*.toml; do
    printf '%s\0%s\0%s\0' "$site" "$day" "$work/$(basename "$site" .toml)--$(basename "$day" .toml)"
  done
done | xargs -0 -n 3 -P "${JOBS:-5}" bash -c 'run_scenario "$0" "$1" "$2"'
echo "| day | site | worth | rules broken | processes that ended by themselves |"
echo "|---|---|---|---|---|"
for file in "$work"/*; do
  name=$(basename "$file")
  worth=$(grep -a '^worth' "$file" | head -1 | awk '{print $2}')
  broken=$(grep -a '^rules broken' "$file" | head -1 | sed 's/rules broken: //' || true)
  exits=$(grep -ac 'ended by itself' "$file" || true)
  printf '| %s | %s | %s | %s | %s |\n' "${name#*--}" "${name%%--*}" "${worth:-not played}" "${broken:-none}" "$exits"
  if [ -n "$broken" ] || [ -z "$worth" ]; then cp "$file" "${KEEP:-/tmp}/$name.log"; fi
done
