#!/bin/sh
# Installs the run-time dependencies and a compiled copy of the package into target/deps.
set -eu
python3 deploy/build.py
python3 -m compileall -q target/deps
