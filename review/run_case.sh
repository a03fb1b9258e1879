#!/usr/bin/env bash
# Runs the program target/review/NAME of case NUMBER and ends all processes that it started.
set -uo pipefail
cd "$(dirname "$0")/.."
program=target/review/$1
record=review/$2/record.txt
if [ ! -x "$program" ] || [ ! -x target/briarwood-platform-entry ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
# The program and the processes under test are a process group of their own.
set -m
"$program" "$record" &
group=$!
(
  sleep 117
  kill -KILL -- "-$group" 2>/dev/null
) &
watchdog=$!
set +m
wait "$group"
status=$?
kill -KILL -- "-$group" 2>/dev/null
kill -KILL -- "-$watchdog" 2>/dev/null
wait "$watchdog" 2>/dev/null
[ "$status" -le 1 ] && exit "$status"
exit 2
