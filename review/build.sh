#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin, which git ignores.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand ./review/_stand
