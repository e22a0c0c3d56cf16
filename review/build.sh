#!/bin/sh
# Builds the stand-ins of the scripts into target/review; run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -R review/standins target/review/standins
python3 -m compileall -q target/review
PYTHONPATH=target/deps:target/review python3 -c "import standins.site"
