#!/usr/bin/env bash
# Generates the Go code of rpc/ from schema/, below the directory given as argument
# (default: the repository). Needs protoc; builds its plugins at the versions pinned in
# tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="$PWD/.tools"
out="${1:-.}"
mkdir -p "$bin"
(cd tools && GOFLAGS=-mod=mod go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
PATH="$bin:$PATH" protoc -I schema \
  --go_out="$out" --go_opt=module=tanagerpoint.example/tanager \
  --twirp_out="$out" --twirp_opt=module=tanagerpoint.example/tanager \
  settings.proto policy.proto peer.proto
