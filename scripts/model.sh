#!/usr/bin/env bash
# Checks the specification in model/ exhaustively within its bounds. Each model must hold, and each mutant named in
# its header must violate an assertion. MODEL_LONG=1 raises the bounds.
set -euo pipefail
cd "$(dirname "$0")/../model"
if ! command -v spin >/dev/null; then
  apt-get update -qq >/dev/null && apt-get install -y -qq spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL LABEL WANTED_ERRORS [DEFINES...]
check() {
  local model=$1 label=$2 wanted=$3 dir
  shift 3
  dir="$work/$model-$label"
  mkdir -p "$dir"
  (
    cd "$dir"
    spin -a "$@" "$OLDPWD/$model.pml" >spin.out || { cat spin.out; exit 1; }
    gcc -O2 -w -DSAFETY -DVECTORSZ=2048 -DCOLLAPSE -DMEMLIM=6000 -o pan pan.c
    ./pan -m2000000 -w26 >pan.out 2>&1 || true
  )
  local errors states seconds
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$dir/pan.out" | tail -1)
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.out" | tail -1)
  seconds=$(sed -n 's/.*elapsed time \([0-9.]*\) seconds.*/\1/p' "$dir/pan.out" | tail -1)
  printf '%-10s %-20s states %-10s errors %s  %ss\n' "$model" "$label" "${states:-?}" "${errors:-?}" "${seconds:-0}"
  if grep -qE 'search not completed|max search depth too small|out of memory' "$dir/pan.out" && [ "$wanted" = 0 ]; then
    echo "$model $label: the search is not exhaustive"; grep -E 'not completed|too small|memory' "$dir/pan.out"; exit 1
  fi
  if [ "$wanted" = 0 ] && [ "$errors" != 0 ]; then echo "$model: invariant violated"; grep -m1 assertion "$dir/pan.out"; exit 1; fi
  if [ "$wanted" = 1 ] && [ "${errors:-0}" = 0 ]; then echo "$model: mutant $label was not detected"; exit 1; fi
}

bound=()
[ -z "${MODEL_LONG:-}" ] || bound=(-DMAX_TERM=5)
for model in ${MODELS:-booking formation lease log}; do
  extra=()
  [ "$model" = log ] && extra=("${bound[@]}")
  check "$model" correct 0 "${extra[@]}"
  for mutant in $(sed -n 's/^ \*   \([A-Z][A-Z_]*[A-Z]\)  *[a-z].*/\1/p' "$model.pml"); do
    check "$model" "$mutant" 1 "-D$mutant" "${extra[@]}"
  done
done
echo "all models hold and all mutants are detected"
