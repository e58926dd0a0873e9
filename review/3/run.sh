#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
# What was sent, answered and run is written to record.txt in this folder.
here="$(dirname "$0")"
exec "$here/../run-case.sh" "$here" "$here/record.txt"
