#!/usr/bin/env bash
# Applies each seeded fault of faults.txt to a copy of the tree and checks that its
# test fails there. An argument, a regular expression, selects faults by their names.
# The line format is in faults.txt.
# Exits with status 1 if a fault does not apply or build, or if its test passes.
set -euo pipefail
cd "$(dirname "$0")/.."
copy="$(mktemp -d)"
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$copy"
failed=0
while IFS='|' read -r name test file change; do
  name="$(sed 's/ *$//' <<<"$name")"
  test="$(tr -d ' ' <<<"$test")"
  file="$(tr -d ' ' <<<"$file")"
  case "$name" in ''|'#'*) continue ;; esac
  [[ "$name" =~ ${1:-.} ]] || continue
  cp "$copy/$file" "$copy/$file.orig"
  perl -0pi -e "${change# }" "$copy/$file"
  if cmp -s "$copy/$file" "$copy/$file.orig"; then
    echo "FAIL  $name: the substitution does not change $file"; failed=1
  elif (cd "$copy" && go vet "./$(dirname "$file")" >"$copy/vet.log" 2>&1 || true; cd "$copy" && go build ./... >"$copy/build.log" 2>&1); then
    if (cd "$copy" && timeout 300 go test -count=1 -run "^$test\$" ./proof/ ./router/ ./configuration/ ./quarantine/ ./platform/ ./policy/ ./retry/ ./rollout/ ./session/ ./endpoint/ ./peer/ ./placement/ ./limit/ ./admission/ ./network/ >"$copy/test.log" 2>&1); then
      echo "FAIL  $name: $test passes with the fault"; failed=1
    else
      echo "ok    $name: $test fails"
    fi
  else
    echo "FAIL  $name: the tree does not build with the fault"; cat "$copy/build.log"; failed=1
  fi
  mv "$copy/$file.orig" "$copy/$file"
# Only the first three ' | ' of a line separate columns; they become '|' for read. The
# rest, with any '|' in it, is the substitution. ' || ' is replaced meanwhile, so that it
# stays as it is.
done < <(sed 's/ || / OROR /g' proof/faults.txt | sed 's/ | /|/1; s/ | /|/1; s/ | /|/1' | sed 's/ OROR / || /g' | awk -F'|' 'NF{print}')
exit "$failed"
