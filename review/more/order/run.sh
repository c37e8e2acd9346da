#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits 1 if the rule broke, 0 if it held, 2 if it could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../../.." || exit 2
play=review/bin/play-$(basename "$folder")
[ -x "$play" ] && [ -x target/daemon/dotterellugd ] || exit 2
timeout --signal=TERM 110 "$play" "review/more/$(basename "$folder")"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
