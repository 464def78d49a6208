"""Tests of the examples in doc comments."""

import doctest
import importlib
import pkgutil
import unittest

import cicadalever


class TestDocExamples(unittest.TestCase):
    """Examples give the results that they show."""

    def test_examples_of_all_modules(self):
        """Guards against examples that were right once."""
        attempted = 0
        for module in pkgutil.walk_packages(cicadalever.__path__, "cicadalever."):
            if module.name.endswith("__main__"):
                # Starts a program when it is loaded.
                continue
            result = doctest.testmod(importlib.import_module(module.name))
            self.assertEqual(result.failed, 0, module.name)
            attempted += result.attempted
        self.assertGreater(attempted, 50)
