#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
. review/harness/run-case.sh CaseSpoiledHeader review/5/record.txt
