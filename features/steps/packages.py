"""Loads the steps that stand in the tests packages beside the code."""

import importlib
import pathlib

import teaseldale

_ROOT = pathlib.Path(teaseldale.__file__).parent

for path in sorted(_ROOT.glob('*/tests/steps_*.py')):
    package = path.parent.parent.name
    importlib.import_module(f'teaseldale.{package}.tests.{path.stem}')
