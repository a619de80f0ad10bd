#!/usr/bin/env bash
# Plays one case: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
case_name=$1
folder=$2
most_seconds=110
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/standins/target/release/review-standins
# The command of the deploy file.
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -x "$program" ]; then
    echo "first run the build of the deploy file and review/build.sh" >&2
    exit 2
fi
# The stand-ins write down which processes they have started.
started=$(mktemp)
REVIEW_RUN=$run REVIEW_ROOT=$root REVIEW_RECORD=$folder/record.txt REVIEW_STARTED=$started \
    timeout "$most_seconds" "$program" "$case_name"
result=$?
# They end what they have started, unless they were ended themselves.
if [ "$result" -gt 2 ]; then
    while read -r process; do kill -KILL "$process" 2>/dev/null; done < "$started"
    result=2
fi
rm -f "$started"
exit "$result"
