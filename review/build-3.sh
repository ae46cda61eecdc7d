#!/usr/bin/env bash
# Builds the stand-ins and the cases of the third review with the JDK alone, after deploy/build.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac --release 17 -d target/review-3 review/standin-3/*.java review/1[1-5]/*.java
