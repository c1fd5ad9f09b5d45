#!/bin/sh
# Makes target/deps/limpetreel the same as src/limpetreel. Files are compared by their
# contents: a build folder may be older or newer than a source tree whose files keep the
# times of their commits. Equal files stay in place, for processes that start meanwhile.
set -eu
mkdir -p target/deps
(cd src && find limpetreel -name '*.py') | while read -r file; do
    if ! cmp -s "src/$file" "target/deps/$file"; then
        mkdir -p "$(dirname "target/deps/$file")"
        cp "src/$file" "target/deps/$file"
    fi
done
(cd target/deps && find limpetreel -name '*.py') | while read -r file; do
    [ -e "src/$file" ] || rm "target/deps/$file"
done
python3 -m compileall -q target/deps
