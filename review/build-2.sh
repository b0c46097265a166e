#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
