#!/bin/sh
# Builds the stand-ins of the scripts: their own in standins2/, and the project's, which the build
# of the deploy file installs with the package. Needs no network.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2 review/6 review/7 review/8 review/9 review/10
PYTHONPATH=target/deps python3 -c "import bronzequay.fakes.executors, bronzequay.fakes.kv"
