#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out. Needs target/release/hibiscusrail-front, as the
# deploy file builds it, and what review/build-2.sh builds.
set -u
cd "$(dirname "$0")" || exit 2
folder=$PWD
cd ../.. || exit 2
program=target/review-2/release/review-case
[ -x "$program" ] && [ -x target/release/hibiscusrail-front ] || exit 2
"$program" resume-plain "$folder" &
pid=$!
trap 'kill "$pid" $(cat "${TMPDIR:-/tmp}/review-case-$pid/pids") 2>/dev/null; exit 2' TERM INT HUP
wait "$pid"
