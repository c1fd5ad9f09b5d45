#!/bin/sh
# Checks and compiles the stand-ins, which need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review
