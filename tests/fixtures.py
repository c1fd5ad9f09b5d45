"""Fixtures that several tests share."""

from __future__ import annotations

import unittest


def load_functions(namespace):
    """Return a ``load_tests`` hook that collects the test functions of a module.

    Parameters
    ----------
    namespace : dict
        The module's ``globals()``.
    """

    def load_tests(loader, standard_tests, pattern):
        suite = unittest.TestSuite()
        for name, func in list(namespace.items()):
            if name.startswith("test_") and callable(func):
                suite.addTest(_FunctionTest(func, f"{namespace['__name__']}.{name}"))
        for value in list(namespace.values()):
            if isinstance(value, type) and issubclass(value, unittest.TestCase):
                suite.addTests(loader.loadTestsFromTestCase(value))
        return suite

    return load_tests


class _FunctionTest(unittest.FunctionTestCase):
    """Function test whose id is the dotted path of the function."""

    def __init__(self, func, test_id):
        super().__init__(func)
        self._test_id = test_id

    def id(self):
        return self._test_id

    def __str__(self):
        return self._test_id
