#!/usr/bin/env bash
# Checks that rpc/ is what the schema generates.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
./tools/generate.sh "$out"
diff -r "$out/rpc" rpc || { echo "rpc/ is not current: run make generate" >&2; exit 1; }
