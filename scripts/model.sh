#!/usr/bin/env bash
# Model-checks the specifications in model/ exhaustively within their bounds, with Spin. Each model must satisfy its
# assertions, and each mutant that its header lists must violate one. MODEL_LONG=1 raises the bounds, MODELS selects
# models.
set -euo pipefail
cd "$(dirname "$0")/../model"
if ! command -v spin >/dev/null; then
  apt-get update -qq >/dev/null && apt-get install -y -qq spin >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# check MODEL LABEL EXPECTED_ERRORS [DEFINES...] runs Spin on a model. EXPECTED_ERRORS is 0 for no violation or 1 for at
# least one.
check() {
  local model=$1 label=$2 expected=$3 dir
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
  if grep -qE 'search not completed|max search depth too small|out of memory' "$dir/pan.out" && [ "$expected" = 0 ]; then
    echo "$model $label: the state space was not searched exhaustively"; grep -E 'not completed|too small|memory' "$dir/pan.out"; exit 1
  fi
  if [ "$expected" = 0 ] && [ "$errors" != 0 ]; then echo "$model: assertion violated"; grep -m1 assertion "$dir/pan.out"; exit 1; fi
  if [ "$expected" = 1 ] && [ "${errors:-0}" = 0 ]; then echo "$model: mutant $label was not detected"; exit 1; fi
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
