#!/usr/bin/env bash
# Starts 8 routers as processes between stand-ins for the store, 9 model replicas and clients. A few
# requests have a prompt part that crashes replicas; all routers are killed once and start again.
# Checks rule BUDGET: how many requests with the part reach replicas when the crashes are known.
# TROUBLE=0 plays the same without the kill. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanager-router ] && [ -x target/review-stand2 ] || { echo "build first: the line build of deploy/system.toml, review/build-2.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stand2 -case crashing-part -folder review/6 -root "$PWD" -trouble="$trouble"
