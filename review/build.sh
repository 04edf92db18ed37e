#!/bin/sh
# Builds the stand-ins of all cases; run after the `build` of deploy/balancer.toml, from anywhere.
set -e
cd "$(dirname "$0")"
test -x ../.venv/bin/python
../.venv/bin/python -m compileall -q standins [123]
