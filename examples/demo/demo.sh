#!/usr/bin/env bash
# Brings up the demonstration in the foreground: stand-ins, three entries and a
# steward. Ctrl-C ends all of it.
set -euo pipefail
cd "$(dirname "$0")/../.."
demo=examples/demo
pids=()
stop() {
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM
start() { "$@" & pids+=("$!"); }

start bin/tanager-standin store
start bin/tanager-standin vms --file "$demo/vms.json"
start bin/tanager-standin rating --quality scribes-1=0.8,scribes-2=0.82,scribes-large-1=0.95
start bin/tanager-standin weights
for i in 1 2 3 4; do start bin/tanager-standin engine --listen "127.0.0.1:$((7609 + i))"; done
for i in 1 2; do start bin/tanager-standin plain --listen "127.0.0.1:$((7639 + i))"; done

tries=0
until bin/tanagerctl --by demo apply "$demo/policy.json" 2>/dev/null; do
  tries=$((tries + 1))
  [ "$tries" -lt 50 ] || { echo "the store did not come up" >&2; exit 1; }
  sleep 0.1
done
for i in 1 2 3; do start bin/tanager-entry run -c "$demo/entry-$i.ini"; done
# steward
start bin/tanager-steward run -c "$demo/steward-1.ini"

for port in 7801 7802 7803; do
  tries=0
  until curl -fsS -o /dev/null -H 'Authorization: Bearer demo-chest-works' "http://127.0.0.1:$port/v1/models" 2>/dev/null; do
    tries=$((tries + 1))
    [ "$tries" -lt 100 ] || { echo "entry on port $port did not come up" >&2; exit 1; }
    sleep 0.1
  done
done
cat <<'TEXT'

The demonstration is up. Callers: 127.0.0.1:7801, 7802, 7803. Try:

  curl -s http://127.0.0.1:7801/v1/chat/completions \
    -H 'Authorization: Bearer demo-chest-works' \
    -d '{"model":"scribes-auto","messages":[{"role":"user","content":"Summarise drawer 12"}]}'

Operators: TANAGER_KEY=demo-operator bin/tanagerctl dump --admin 127.0.0.1:7901
Ctrl-C ends it.
TEXT
wait
