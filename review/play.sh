#!/usr/bin/env bash
# Plays a case: play.sh CASE RECORD. Ends all processes that the play has started, whichever way it ends.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.."
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
PIDS=$(mktemp) || exit 2
export PIDS
standin=
end() {
    [ -n "$standin" ] && kill -KILL "$standin" 2>/dev/null
    xargs -r kill -KILL <"$PIDS" 2>/dev/null
    rm -f "$PIDS"
}
trap end EXIT
trap 'exit 2' INT TERM
target/review/standin "$1" "$command" "$2" &
standin=$!
wait "$standin"
code=$?
standin=
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
