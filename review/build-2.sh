#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review with the JDK alone, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/standin-2/*.java)
for folder in review/6 review/7 review/8 review/9 review/10; do
  for source in "$folder"/*.java; do
    [ -e "$source" ] && sources+=("$source")
  done
done
javac -nowarn -d target/review-2 "${sources[@]}"
