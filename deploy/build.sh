#!/bin/sh
# Puts the libraries and the package under target/deps, the folder on Python's path.
set -eu
if [ ! -e target/installed ] || [ deploy/requirements.txt -nt target/installed ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    touch target/installed
fi
# Files that have not changed stay in place, for processes that start meanwhile.
cp -R -u src/limpetreel target/deps/
(cd target/deps && find limpetreel -name '*.py') | while read -r file; do
    [ -e "src/$file" ] || rm "target/deps/$file"
done
python3 -m compileall -q target/deps
