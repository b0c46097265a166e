#!/usr/bin/env bash
# Installs the Debian packages that the checks need besides Go: spin, gcc, and protoc
# with its standard .proto files.
set -euo pipefail
missing=()
command -v spin >/dev/null || missing+=(spin)
command -v protoc >/dev/null || missing+=(protobuf-compiler)
# The standard .proto files (duration.proto, descriptor.proto) are a package of their
# own, which protobuf-compiler only recommends.
[ -e /usr/include/google/protobuf/duration.proto ] || missing+=(libprotobuf-dev)
command -v gcc >/dev/null || missing+=(gcc libc6-dev)
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=()
  if [ "$(id -u)" != 0 ]; then sudo=(sudo); fi
  "${sudo[@]}" apt-get update -qq
  "${sudo[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
