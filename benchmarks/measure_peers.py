"""Peer calls: cost per message, control traffic and rolling upgrades."""

from benchmarks.peers_links import link_rows, link_slopes
from benchmarks.peers_membership import membership_slopes
from benchmarks.peers_versions import version_rows
from benchmarks.rows import BenchmarkRow, Slope


def deterministic_rows(_quick: bool) -> list[BenchmarkRow]:
    """Returns the rows that CI checks."""
    return version_rows()


def rows(quick: bool) -> list[BenchmarkRow]:
    """Returns the rows on mixed releases and on links."""
    return [*version_rows(), *link_rows(quick)]


def slopes(quick: bool) -> list[Slope]:
    """Returns the costs of one VM by the size of its cell and of the fleet."""
    return [*link_slopes(quick), *membership_slopes()]
