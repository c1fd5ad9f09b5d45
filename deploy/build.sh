#!/bin/sh
# Compiles the programs and puts the libraries under target/deps; see deploy/build.py.
set -eu
exec python3 deploy/build.py
