#!/bin/sh
# A reload of the hosted service leaves a long value that is under way without an end.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in bin/gapgapd review/_stand2/bin/stand2; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec review/_stand2/bin/stand2 hosted-reload-long "$here/record.txt"
