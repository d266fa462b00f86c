#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, from the root of the repository, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review3 -o target/review3 ./review/harness3
