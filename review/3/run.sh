#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. The build of the deploy file and review/build.sh go before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] && [ -x target/cowslipfall ] || exit 2
exec target/review/harness quick-servers review/3/record.txt
