#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f review/target/CaseSpoiledHeader.class ] || [ ! -f target/damaskmoor-relay.jar ]; then
  echo "run deploy/build and review/build.sh first" >&2
  exit 2
fi
exec timeout -k 5 115 java -Xmx256m -cp review/target CaseSpoiledHeader review/5
