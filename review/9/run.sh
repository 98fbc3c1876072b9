#!/bin/sh
# Under bad clients, requests of usual clients are read and dropped with the end of their connections.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in bin/gapgap review/_stand2/bin/stand2; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec review/_stand2/bin/stand2 bad-clients "$here/record.txt"
