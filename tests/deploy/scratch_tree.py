"""A small source tree with the real build and a program that names itself.

The `pip` that the build calls is a stand-in, which installs a folder of libraries or
fails as without a registry.
"""

from __future__ import annotations

import base64
import contextlib
import hashlib
import os
import pathlib
import py_compile
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
EARLIER, LATER = 1_600_000_000, 1_700_000_000
BUILD_SECONDS = 60
_PIP = """
import os, pathlib, shutil, sys, time
with open(os.environ["STAND_IN_CALLS"], "a") as calls:
    calls.write(f"{os.getpid()}\\n")
offered = os.environ.get("STAND_IN_LIBRARIES", "")
if not offered:
    sys.exit("ERROR: No matching distribution found for library==2.0")
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True)
for path in sorted(pathlib.Path(offered).iterdir()):
    copy = shutil.copytree if path.is_dir() else shutil.copyfile
    copy(path, target / path.name)
    time.sleep(float(os.environ.get("STAND_IN_PAUSE", "0")))
"""


@contextlib.contextmanager
def make(marker="tree", has_loader=True):
    """Yield a tree whose program prints a marker."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder) / "tree"
        shutil.copytree(
            ROOT / "deploy", root / "deploy", ignore=shutil.ignore_patterns("days")
        )
        if has_loader:
            shutil.copytree(
                ROOT / "limpetreel",
                root / "limpetreel",
                ignore=shutil.ignore_patterns("__pycache__"),
            )
        (root / "deploy/requirements.txt").write_text("# needed\nLibrary==2.0\n")
        write_package(root / "src/limpetreel", marker)
        (root.parent / "stand-in").mkdir()
        (root.parent / "stand-in/pip.py").write_text(_PIP)
        yield root


def write_package(folder, marker, mtime=EARLIER, is_compiled=False):
    """Write a package that prints a marker from one of its modules."""
    folder.mkdir(parents=True, exist_ok=True)
    texts = {
        "__init__.py": f"NAME = '{marker}'\n",
        "part.py": f"NAME = '{marker}'\n",
        "__main__.py": "import limpetreel\nfrom limpetreel import part\n"
        "print(limpetreel.NAME, part.NAME)\n",
    }
    for name, text in texts.items():
        path = folder / name
        path.write_text(text)
        os.utime(path, (mtime, mtime))
        if is_compiled:
            py_compile.compile(str(path), doraise=True)


def write_library(folder, version="2.0", files=None):
    """Write an installed library with its record."""
    if files is None:
        files = {"library/__init__.py": f"VERSION = '{version}'\n"}
    info = f"library-{version}.dist-info"
    lines = []
    for name, text in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        digest = base64.urlsafe_b64encode(hashlib.sha256(text.encode()).digest())
        lines.append(f"{name},sha256={digest.rstrip(b'=').decode()},{len(text)}\n")
    (folder / info).mkdir()
    (folder / info / "METADATA").write_text(f"Name: Library\nVersion: {version}\n")
    lines.append(f"{info}/METADATA,,\n")
    (folder / info / "RECORD").write_text("".join(lines))


def offer_library(root, version="2.0", files=None):
    """Return a folder of libraries for the stand-in of pip."""
    folder = pathlib.Path(tempfile.mkdtemp(dir=root.parent))
    write_library(folder, version, files)
    return folder


def start_build(root, offered="", pause=0.0):
    """Start the build as the deploy file does."""
    env = {
        "PATH": f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}",
        "PYTHONPATH": str(root.parent / "stand-in"),
        "STAND_IN_CALLS": str(root.parent / "calls"),
        "STAND_IN_LIBRARIES": str(offered),
        "STAND_IN_PAUSE": str(pause),
    }
    return subprocess.Popen(
        ["sh", "deploy/build.sh"],
        cwd=root,
        env=env,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def run_build(root, offered=""):
    """Run the build; return its exit code and what it printed."""
    process = start_build(root, offered)
    output, _ = process.communicate(timeout=BUILD_SECONDS)
    return process.returncode, output


def pip_calls(root):
    """Return the process ids of the calls of pip."""
    path = root.parent / "calls"
    return [int(x) for x in path.read_text().split()] if path.exists() else []


def run_program(root, cwd=None, before=()):
    """Run the program with the libraries on its path; return what it printed."""
    result = subprocess.run(
        [sys.executable, "-S", *before, "-m", "limpetreel"],
        cwd=cwd or root,
        env={"PYTHONPATH": str(root / "target/deps")},
        capture_output=True,
        text=True,
        check=False,
        timeout=BUILD_SECONDS,
    )
    return result.stdout.strip() or result.stderr.strip()


def library_version(root):
    """Return the version of the library that a program of the tree imports."""
    result = subprocess.run(
        [sys.executable, "-S", "-c", "import library; print(library.VERSION)"],
        env={"PYTHONPATH": str(root / "target/deps")},
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip()
