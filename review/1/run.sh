#!/bin/sh
# Plays the case beside this file: see claim.txt. Build first: the deploy file's build, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/gapgap ] && [ -x review/bin/stand ] || { echo "not built" >&2; exit 2; }
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN
exec review/bin/stand tail review/1/record.txt
