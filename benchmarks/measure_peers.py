"""Calls between VMs: cost of a message, control traffic, rolling upgrades."""

from benchmarks.peers_links import link_rows, link_slopes
from benchmarks.peers_membership import membership_slopes
from benchmarks.peers_versions import version_rows
from benchmarks.rows import BenchmarkRow, Slope


def deterministic_rows(_quick: bool) -> list[BenchmarkRow]:
    """Returns the rows that CI checks."""
    return version_rows()


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the rows of links and of mixed releases."""
    return [*version_rows(), *link_rows(quick)]


def slopes(quick: bool) -> list[Slope]:
    """Returns costs of one VM against the size of its cell."""
    return [*link_slopes(quick), *membership_slopes()]
