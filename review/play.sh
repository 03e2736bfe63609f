#!/usr/bin/env bash
# Plays a case: play.sh CASE RECORD. When this script ends, whichever way, the pipe to the stand-in closes; the stand-in then
# ends all processes that it has started, removes its folder and ends too.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.."
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
folder=$(mktemp -d) || exit 2
mkfifo "$folder/pipe" || exit 2
END_WITH_STDIN=1 target/review/standin "$1" "$command" "$2" <"$folder/pipe" &
standin=$!
exec 3>"$folder/pipe"
rm -rf "$folder"
trap 'exec 3>&-; wait "$standin"; exit 2' INT TERM
wait "$standin"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
