"""The program with stubs for spending and the request registry.

The stubs isolate the cost of answers. Run as
``python -m benchmarks.answers_vm`` with the program's arguments.
"""

from benchmarks.simulated_fleet import FreeSpending, OpenRegistry
from teaseldale.command import _program, main


def use_free_parts() -> None:
    """Replaces spending and the registry by stubs that access no table."""
    _program.TransactionalSpending = lambda table: FreeSpending()
    _program.TableRequestRegistry = lambda table: OpenRegistry()


if __name__ == '__main__':
    use_free_parts()
    main()
