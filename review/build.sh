#!/bin/bash
# Builds the stand-ins of the cases; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -cp target/wheatwall.jar -d target/review review/harness/*.java
