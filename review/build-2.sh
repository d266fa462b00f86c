#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review2 ./review/standin2
