#!/usr/bin/env bash
# Exits with 1 if a request with a revoked key ran or a key was passed on, 0 if not, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/damaskmoor-relay.jar ] && [ -e target/review-2/Review10.class ] || exit 2
timeout -k 5 110 java -Xmx256m -cp target/review-2 Review10
case $? in
  10) exit 1 ;;
  0) exit 0 ;;
  *) exit 2 ;;
esac
