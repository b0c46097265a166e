#!/usr/bin/env bash
# Checks all Go files with gofmt and golangci-lint. Installs golangci-lint in .tools
# unless the pinned version is there.
set -euo pipefail
cd "$(dirname "$0")/.."
version=v2.15.0
bin="$PWD/.tools/golangci-lint"
if [ ! -x "$bin" ] || ! "$bin" version 2>/dev/null | grep -q "${version#v}"; then
  GOBIN="$PWD/.tools" go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
unformatted="$(git ls-files -co --exclude-standard '*.go' | xargs gofmt -l)"
[ -z "$unformatted" ] || { echo "not formatted with gofmt: $unformatted"; exit 1; }
"$bin" run ./...
