#!/bin/sh
# Builds the stand-ins of the second review's cases: compiles them, so that a faulty one is found before a case runs.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/second review/6 review/7 review/8 review/9 review/10
