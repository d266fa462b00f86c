#!/usr/bin/env bash
# Builds the stand-ins and checks of the scripts, which are test files. It needs no network: only the
# standard library is used.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/harness ./review/harness
