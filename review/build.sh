#!/usr/bin/env bash
# Builds the stand-ins and checks of the review's scripts. It needs no network: only the
# standard library is used.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/harness
