#!/usr/bin/env bash
# Runs all tests under the race detector, but for those in KNOWN-RED.txt.
# Each entry's first word is the name of a test, or of a case of it as TEST/CASE.
# Where the race detector itself breaks down, and no test has failed, its package
# is run once more: it says so itself, or the process dies outside of Go code, and
# this program has no other.
set -euo pipefail
cd "$(dirname "$0")"
flags=(-race -count=1 -timeout 30m)
if [ -s KNOWN-RED.txt ]; then
  names=$(awk 'NF && !/^#/ {gsub("/", "$/^", $1); print "^" $1 "$"}' KNOWN-RED.txt | sort -u | paste -sd '|' -)
  if [ -n "$names" ]; then
    flags+=(-skip "$names")
    echo "passed over, known to fail:"
    grep -v '^#' KNOWN-RED.txt
  fi
fi
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if go test "${flags[@]}" ./... 2>&1 | tee "$log"; then
  exit 0
fi
if ! grep -Eq '^ThreadSanitizer: CHECK failed|^SIGSEGV: segmentation violation$' "$log" || grep -Eq -- '--- FAIL|DATA RACE|^panic:' "$log"; then
  exit 1
fi
mapfile -t broken < <(awk '$1 == "FAIL" && NF > 1 {print $2}' "$log" | sort -u)
echo "the race detector broke down, run once more: ${broken[*]}"
go test "${flags[@]}" "${broken[@]}"
