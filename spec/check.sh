#!/usr/bin/env bash
# Checks every model with Spin: without a fault Spin must find no error, and with each
# seeded fault (#ifdef FAULT_...) at least one. Needs spin and gcc.
set -euo pipefail
cd "$(dirname "$0")"
here="$PWD"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
failed=0

# errors SPEC [FAULT]: prints the number of errors that Spin finds in SPEC.pml, with
# FAULT defined if it is given. Fails if the search ends early, for lack of depth, memory
# or time, without finding one.
errors() {
  local dir="$work/$1-${2:-none}"
  mkdir -p "$dir"
  cd "$dir"
  spin -a ${2:+-D"$2"} "$here/$1.pml" >spin.log
  gcc -O2 -DSAFETY -DMEMLIM=2048 -DCOLLAPSE -o pan pan.c 2>gcc.log
  timeout 300 ./pan -m200000 >pan.log 2>&1 || { cat pan.log >&2; return 1; }
  if grep -qE 'max search depth too small|out of memory|Search not completed' pan.log &&
    ! grep -qE 'errors: [1-9]' pan.log; then
    echo "$1: the search was not completed" >&2
    return 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
  cd "$here"
}

for spec in claim lease configuration bill watch; do
  found="$(errors "$spec")"
  states="$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$spec-none/pan.log")"
  if [ "$found" = 0 ]; then
    echo "ok    $spec: no errors in $states states"
  else
    echo "FAIL  $spec: Spin found an error"; failed=1
    cat "$work/$spec-none/pan.log"
  fi
  for fault in $(grep -oE '#ifn?def FAULT_[A-Z_]+' "$spec.pml" | cut -d' ' -f2 | sort -u); do
    found="$(errors "$spec" "$fault")"
    if [ "$found" -gt 0 ]; then
      echo "ok    $spec: $fault is found"
    else
      echo "FAIL  $spec: $fault is not found"; failed=1
    fi
  done
done
exit "$failed"
