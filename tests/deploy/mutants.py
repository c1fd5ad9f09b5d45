"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_BUILD = "deploy/build.py"
_LOADER = "limpetreel/__init__.py"
_TESTS = "tests.deploy.test_build."
_TREE = _TESTS + "test_programs_are_those_of_the_tree_whatever_build_folder_it_has"
_COMPILED = _TESTS + "test_compiled_files_of_other_sources_are_not_run"
_ELSEWHERE = _TESTS + "test_programs_started_elsewhere_are_those_of_the_tree"
_SERVE = _TESTS + "test_libraries_that_serve_stay_without_pip"
_REPLACED = _TESTS + "test_libraries_that_do_not_serve_are_replaced_or_named"
_INSTALLED = _TESTS + "test_libraries_that_pip_installs_are_checked_too"
_KILLED = _TESTS + "test_build_that_is_killed_leaves_what_there_was"
_BUILD_FAULTS = "src/limpetreel/platform/installed_build.py"
_DIGEST = "src/limpetreel/telemetry/source_digest.py"
_RELEASE = "tests.deploy.test_release."
_NAMED = _RELEASE + "test_build_of_another_tree_is_named"
_ROLE = _RELEASE + "test_role_names_its_sources_in_log_and_metrics"
_DIGEST_TESTS = "tests.telemetry.test_source_digest."
_AT_ONCE = _TESTS + "test_builds_at_once_install_once"

MUTANTS = [
    (
        "loader at the root takes the package among the libraries",
        _LOADER,
        "sys.path.insert(0, _FOLDER)",
        "sys.path.append(_FOLDER); sys.path.pop(0)",
        _TREE,
    ),
    (
        "package among the libraries stays without a registry",
        _BUILD,
        "    install_loader(LIBRARIES)\n",
        "",
        _TREE,
    ),
    (
        "package among the libraries stays as it is",
        _BUILD,
        '    scratch.replace(package / "__init__.py")\n',
        "    scratch.unlink()\n",
        _ELSEWHERE,
    ),
    (
        "compiled files are believed by time and size",
        _BUILD,
        "            if compiled.read_bytes()[: len(expected)] == expected:\n",
        "            if compiled.exists():\n",
        _COMPILED,
    ),
    (
        "compiled programs are not compared at imports",
        _BUILD,
        "        mode = py_compile.PycInvalidationMode.CHECKED_HASH\n"
        "        flags = _HASHED | _CHECKED\n",
        "        pass\n",
        _COMPILED,
    ),
    (
        "libraries are installed at each build",
        _BUILD,
        "    fault = find_fault(LIBRARIES, required)\n    if fault:\n",
        "    fault = find_fault(LIBRARIES, required)\n    if True:\n",
        _SERVE,
    ),
    (
        "version of libraries is not compared",
        _BUILD,
        "        if versions != [version]:\n",
        "        if not versions:\n",
        _REPLACED,
    ),
    (
        "contents of libraries are not compared",
        _BUILD,
        "        if fault:\n            return f",
        "        if False:\n            return f",
        _REPLACED,
    ),
    (
        "libraries are not imported",
        _BUILD,
        "    return _find_import_fault(libraries, modules)\n",
        "    return None\n",
        _REPLACED,
    ),
    (
        "extension modules are not imported",
        _BUILD,
        '        if file.suffix == ".so":\n',
        '        if file.suffix == ".none":\n',
        _REPLACED,
    ),
    (
        "installed libraries are not checked",
        _BUILD,
        "    fault = find_fault(new, required)\n",
        "    fault = None\n",
        _INSTALLED,
    ),
    (
        "libraries are installed in place",
        _BUILD,
        '    new = TARGET / f"{NEW_LIBRARIES}{os.getpid()}"\n',
        "    new = LIBRARIES\n    shutil.rmtree(new)\n",
        _KILLED,
    ),
    (
        "all builds install in one folder",
        _BUILD,
        '    new = TARGET / f"{NEW_LIBRARIES}{os.getpid()}"\n',
        '    new = TARGET / f"{NEW_LIBRARIES}1"\n',
        _KILLED,
    ),
    (
        "builds do not wait for each other",
        _BUILD,
        "        fcntl.flock(lock, fcntl.LOCK_EX)\n",
        "",
        _AT_ONCE,
    ),
    (
        "version is read from metadata that the build lacks",
        "src/limpetreel/console/commands/version_command.py",
        "{limpetreel.__version__}",
        "{__import__('importlib.metadata').metadata.version('limpetreel')}",
        _RELEASE + "test_version_names_the_sources_on_the_build",
    ),
    (
        "programs of another tree are not named",
        _BUILD_FAULTS,
        "    faults = _other_tree(folder, os.getcwd())\n",
        "    faults = []\n",
        _NAMED,
    ),
    (
        "libraries of another release are not named",
        _BUILD_FAULTS,
        "        if found != version:\n",
        "        if found is None:\n",
        _NAMED,
    ),
    (
        "programs that are not compiled are not named",
        _BUILD_FAULTS,
        "        faults += _uncompiled(folder)\n",
        "",
        _NAMED,
    ),
    (
        "library that cannot be imported ends with a traceback",
        "src/limpetreel/console/application.py",
        "    except ImportError as exc:\n",
        "    except ZeroDivisionError as exc:\n",
        _RELEASE + "test_library_that_cannot_be_imported_is_named",
    ),
    (
        "first line does not name the sources",
        "src/limpetreel/telemetry/telemetry.py",
        '            fields["sources"] = self._read_digest\n',
        "            pass\n",
        _ROLE,
    ),
    (
        "faults of the build are not logged",
        "src/limpetreel/telemetry/telemetry.py",
        "            for fault in self._find_faults():\n",
        "            for fault in ():\n",
        _ROLE,
    ),
    (
        "digest leaves the names of files out",
        _DIGEST,
        'f"{name}\\0{len(content)}\\0"',
        'f"{len(content)}\\0"',
        _DIGEST_TESTS + "test_other_files_have_another_digest",
    ),
    (
        "digest depends on the order of a folder",
        _DIGEST,
        "sorted(_source_files(self._folder))",
        "reversed(list(_source_files(self._folder)))",
        _DIGEST_TESTS + "test_same_files_have_the_same_digest",
    ),
]
