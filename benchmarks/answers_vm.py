"""The program with stubs for spending and the request registry.

The stubs isolate the cost of answers. Run as
``python -m benchmarks.answers_vm`` with the program's arguments.
"""

from benchmarks.simulated_fleet import NullRequestRegistry, UnlimitedSpending
from teaseldale.command import _program, main


def install_stubs() -> None:
    """Replaces spending and the registry by stubs that access no table."""
    _program.TransactionalSpending = lambda table: UnlimitedSpending()
    _program.TableRequestRegistry = lambda table: NullRequestRegistry()


if __name__ == '__main__':
    install_stubs()
    main()
