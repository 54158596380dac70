"""The program without budgets and registry, to measure answers alone.

Run as ``python -m benchmarks.answers_vm`` with the program's arguments.
"""

from benchmarks.simulated_fleet import FreeSpending, OpenRegistry
from teaseldale.command import _program, main


def use_free_parts() -> None:
    """Puts parts that cost nothing in place of spending and registry."""
    _program.TransactionalSpending = lambda table: FreeSpending()
    _program.TableRequestRegistry = lambda table: OpenRegistry()


if __name__ == '__main__':
    use_free_parts()
    main()
