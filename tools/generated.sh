#!/usr/bin/env bash
# Checks that rpc/ is what tools/generate.sh generates from schema/ now.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
./tools/generate.sh "$out"
diff -r "$out/rpc" rpc || { echo "rpc/ differs from the code generated from schema/: run make generate" >&2; exit 1; }
