"""Re-exports that import their modules on first use.

A package has parts that most programs do not use. A VM that starts again
imports only what it needs, and serves that much earlier.
"""

import importlib
from collections.abc import Mapping
from typing import Any


class LazyExports:
    """The ``__getattr__`` of a package."""

    def __init__(
        self,
        package: str,
        modules: Mapping[str, tuple[str, ...]],
    ) -> None:
        """``modules`` has the exported names by the module's full name."""
        self._package = package
        self._sources = {
            name: module for module, names in modules.items() for name in names
        }

    def __call__(self, name: str) -> Any:
        """Returns what a name stands for; raises ``AttributeError``."""
        module = self._sources.get(name)
        if module is None:
            raise AttributeError(f'module {self._package!r} has no {name!r}')
        return getattr(importlib.import_module(module), name)
