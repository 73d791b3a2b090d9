#!/usr/bin/env bash
# Plays each day of deploy/days on the sites with the users' bench and prints one row a day and site, as the table of
# docs/measurements/troubles.md has them.
#
#   FLEETBENCH=PATH scripts/troubles.sh SITE_FILE...
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?set FLEETBENCH to the bench program}"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
play() { # site file, day file, output
  timeout 300 "$FLEETBENCH" run "$1" "$2" --why "matrix of troubles: $(basename "$2" .toml)" >"$3" 2>&1 || true
}
export -f play
export FLEETBENCH
"$FLEETBENCH" build >/dev/null
for site in "$@"; do
  for day in deploy/days/*.toml; do
    printf '%s\0%s\0%s\0' "$site" "$day" "$work/$(basename "$site" .toml)--$(basename "$day" .toml)"
  done
done | xargs -0 -n 3 -P "${JOBS:-5}" bash -c 'play "$0" "$1" "$2"'
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
