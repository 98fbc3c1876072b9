#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (one program). Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/_stand2/bin/stand2 ./review/_stand2
