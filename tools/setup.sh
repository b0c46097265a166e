#!/usr/bin/env bash
# Installs what the checks need beside Go: spin and protoc with its
# messages, from Debian.
set -euo pipefail
missing=()
command -v spin >/dev/null || missing+=(spin)
command -v protoc >/dev/null || missing+=(protobuf-compiler)
# protoc's own messages (duration.proto, descriptor.proto) come apart from it.
[ -e /usr/include/google/protobuf/duration.proto ] || missing+=(libprotobuf-dev)
command -v gcc >/dev/null || missing+=(gcc libc6-dev)
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=()
  if [ "$(id -u)" != 0 ]; then sudo=(sudo); fi
  "${sudo[@]}" apt-get update -qq
  "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
