#!/usr/bin/env bash
# Runs one of the findings beyond the five cases: review/extra/run.sh NAME. Exit codes as for a case.
cd "$(dirname "$0")/../.." || exit 2
. review/harness/run-case.sh "$1" review/extra/record.txt
