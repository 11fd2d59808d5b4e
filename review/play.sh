#!/usr/bin/env bash
# Plays one scenario: play.sh SCENARIO RECORD. It starts the stand-ins and the hosts as separate
# processes, and ends all of them. The exit code is that of the stand-ins.
set -u
cd "$(dirname "$0")/.."
for program in target/review-standin target/galenawharf-host; do
  [ -x "$program" ] || { echo "not built: $program" >&2; exit 2; }
done
dir=$(mktemp -d)
standin=
finish() {
  touch "$dir/over"
  [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
  # A loop ends once its host has ended.
  for _ in $(seq 50); do
    for f in "$dir"/*.pid; do [ -e "$f" ] && kill -KILL "$(cat "$f")" 2>/dev/null; done
    [ -n "$(jobs -rp)" ] || break
    sleep 0.1
  done
  wait 2>/dev/null
  [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/*.log "$KEEP_LOGS"/
  rm -rf "$dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

# host NAME runs a host until the end, and starts it again when it has ended.
host() {
  while [ ! -e "$dir/over" ]; do
    GALENAWHARF_SETTINGS="$dir/$1.conf" target/galenawharf-host >>"$dir/$1.log" 2>&1 &
    echo $! >"$dir/$1.pid"
    wait $!
    sleep 0.5
  done
}

target/review-standin "$1" "$dir" "$2" &
standin=$!
for _ in $(seq 100); do [ -e "$dir/ready" ] && break; sleep 0.1; done
[ -e "$dir/ready" ] || { echo "the stand-ins don't start" >&2; exit 2; }
for conf in "$dir"/*.conf; do
  host "$(basename "$conf" .conf)" &
done
wait "$standin"
code=$?
standin=
exit "$code"
