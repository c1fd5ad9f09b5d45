"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_SOURCE = "src/limpetreel/platform/"
_ODD = "tests.platform.test_odd_entries."
_FORMATS = "tests.platform.test_formats."

MUTANTS = [
    (
        "numbers of a document are not bounded",
        _SOURCE + "configuration_format.py",
        "_NotNegative = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]\n",
        "_NotNegative = Annotated[int, msgspec.Meta(ge=0)]\n",
        _ODD + "test_odd_document_is_refused_or_reaches_all_nodes",
    ),
    (
        "settings with syntax errors only are refused",
        _SOURCE + "process_settings.py",
        "    except (OSError, ValueError, RecursionError) as exc:\n",
        "    except (OSError, ValueError) as exc:\n",
        _ODD + "test_settings_that_are_deeply_nested_or_too_long_are_refused",
    ),
    (
        "numbers of settings are not bounded",
        _SOURCE + "process_settings.py",
        "    if not 0 < value <= MAX_NUMBER:\n",
        "    if value <= 0:\n",
        _ODD + "test_settings_that_are_deeply_nested_or_too_long_are_refused",
    ),
    (
        "ports of reports are not bounded",
        "src/limpetreel/cluster/upstream_record.py",
        "_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]\n",
        "_Port = Annotated[int, msgspec.Meta(ge=1)]\n",
        _ODD + "test_report_with_an_odd_port_or_number_of_slots_is_refused",
    ),
    (
        "only services with flows have to be known",
        _SOURCE + "configuration_format.py",
        "    for name in sorted(named - services):\n",
        "    for name in sorted({document_route.backend or ''} - services - {''}):\n",
        _FORMATS + "test_each_service_that_a_route_names_is_known",
    ),
    (
        "bytes in fields that are not read may be anything",
        _SOURCE + "configuration_format.py",
        "            document.decode()\n",
        "",
        _FORMATS + "test_document_that_cannot_be_read_in_full_is_refused",
    ),
    (
        "limit that is not in the document is 0",
        _SOURCE + "configuration_format.py",
        "        None if isinstance(limit, msgspec.UnsetType) else limit,\n",
        "        0 if isinstance(limit, msgspec.UnsetType) else limit,\n",
        _FORMATS + "test_limit_that_is_not_in_the_document_is_no_limit_of_0",
    ),
]
