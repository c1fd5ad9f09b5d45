#!/bin/sh
# Puts the libraries and the package under target/deps, the folder on Python's path.
set -eu
mkdir -p target
# A build folder may come from another kind of machine, or from another list of libraries.
wanted="$(uname -m) $(python3 --version) $(cat deploy/requirements.txt)"
if [ "$(cat target/installed 2>/dev/null || true)" != "$wanted" ]; then
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
    printf '%s\n' "$wanted" > target/installed
fi
sh deploy/copy_package.sh
