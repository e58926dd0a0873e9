#!/usr/bin/env bash
# Runs the case of a folder: run-case.sh FOLDER RECORD. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$1" && pwd)" || exit 2
record="$(cd "$(dirname "$2")" && pwd)/$(basename "$2")" || exit 2
root="$(cd "$here/../.." && pwd)"
case="$root/bin/review/case-$(basename "$here")"
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")"
if [ ! -x "$case" ] || [ -z "$run" ] || [ ! -x "$root/bin/poppymill" ]; then
    echo "not built: the build of the deploy file and review/build.sh come first" >&2
    exit 2
fi
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
timeout -k 5 110 "$case" -root "$root" -run "$run" -folder "$folder" -record "$record" -trouble=$trouble &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; exit 2' TERM INT
wait "$pid"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
