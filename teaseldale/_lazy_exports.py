"""Lazy re-exports: a module is imported when one of its names is first used.

Most programs use only some modules of a package. Importing the others on
demand shortens the time until a restarted VM serves requests.
"""

import importlib
from collections.abc import Mapping
from typing import Any


class LazyExports:
    """Module-level ``__getattr__`` of a package with lazy re-exports."""

    def __init__(
        self,
        package: str,
        modules: Mapping[str, tuple[str, ...]],
    ) -> None:
        """Creates the hook; ``modules`` maps module names to their exports."""
        self._package = package
        self._sources = {
            name: module for module, names in modules.items() for name in names
        }

    def __call__(self, name: str) -> Any:
        """Imports the module of ``name`` and returns the exported object.

        Raises ``AttributeError`` if the package does not export ``name``.
        """
        module = self._sources.get(name)
        if module is None:
            raise AttributeError(
                f'module {self._package!r} has no attribute {name!r}',
            )
        return getattr(importlib.import_module(module), name)
