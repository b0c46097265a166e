#!/usr/bin/env bash
# Starts 11 routers (the site's 8 machines and its 3 spare ones) as processes between stand-ins for the
# store, 3 plain replicas and clients. In six rounds the machines that watch the store for all lose
# their power (their processes are stopped, and later killed and started again) between two versions of
# the configuration, the second of which takes an API key away. Checks rule CONFIG: whether a
# request with that key, sent later than config_apply_ms after the acknowledgement, runs at one of the other machines.
# TROUBLE=0 plays the same without the loss of power. Exit: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanager-router ] && [ -x target/review-stand2 ] || { echo "build first: the line build of deploy/system.toml, review/build-2.sh"; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stand2 -case silent-watchers -folder review/8 -root "$PWD" -trouble="$trouble"
