"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_COPY = "deploy/copy_package.sh"
_TIMES = (
    "tests.deploy.test_build.test_build_takes_the_sources_whatever_the_times_of_files"
)

MUTANTS = [
    (
        "earlier build with later files is kept",
        _COPY,
        '    if ! cmp -s "src/$file" "target/deps/$file"; then\n',
        '    if [ "src/$file" -nt "target/deps/$file" ]; then\n',
        _TIMES,
    ),
    (
        "files that are gone stay in the build",
        _COPY,
        '    [ -e "src/$file" ] || rm "target/deps/$file"\n',
        "    true\n",
        _TIMES,
    ),
]
