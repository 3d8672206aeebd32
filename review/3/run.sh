#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -x "$root/target/review/standins" ] || { echo "review/build.sh has not run" >&2; exit 2; }
"$root/target/review/standins" flood "$root" "$folder" "$temporary"
