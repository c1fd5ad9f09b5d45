#!/bin/sh
# Runs the case of a folder; called by its run.sh with the folder as argument.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1
exec python3 "$1/case.py"
