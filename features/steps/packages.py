"""Loads the step modules of the tests packages below teaseldale."""

import importlib
import pathlib

import teaseldale

_ROOT = pathlib.Path(teaseldale.__file__).parent

for path in sorted(_ROOT.glob('*/tests/steps_*.py')):
    package = path.parent.parent.name
    importlib.import_module(f'teaseldale.{package}.tests.{path.stem}')
