#!/usr/bin/env bash
# Plays this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh; writes record.txt beside itself.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/liftrelay ] && [ -x target/review-2/standins ] || { echo "not built"; exit 2; }
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
end_all() {
    kill "$played" 2>/dev/null
    # What the stand-ins started and could not end themselves.
    for file in "$CASE_TMP"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$CASE_TMP"
}
trap end_all EXIT
trap 'exit 2' INT TERM
timeout 115 target/review-2/standins "$(basename "$folder")" &
played=$!
wait "$played"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
