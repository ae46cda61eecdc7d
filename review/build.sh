#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/target. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:-serial -d target harness/*.java */Case*.java extra/*.java
