#!/bin/sh
# Puts the libraries and the package under target/deps, the folder on Python's path.
set -eu
if [ ! -e target/installed ] || [ deploy/requirements.txt -nt target/installed ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch target/installed
fi
rm -rf target/deps/limpetreel
cp -R src/limpetreel target/deps/limpetreel
python3 -m compileall -q target/deps
