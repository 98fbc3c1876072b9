#!/bin/sh
# Plays the case beside this file: see claim.txt. Build first: the deploy file's build, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gapgap ] && [ -x review/bin/stand ] || { echo "not built" >&2; exit 2; }
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
TROUBLE=${TROUBLE:-1} # 0: without the disruption
export RUN TROUBLE
exec review/bin/stand pipeline review/3/record.txt
