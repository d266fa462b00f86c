#!/bin/sh
# Run from anywhere after the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review3 ] || exit 2
exec target/review3 session review/further-3/sessions-with-long-streams/record.txt
