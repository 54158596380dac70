"""Counters, gauges and latency histograms of one VM."""

from teaseldale.metrics._metrics import Metrics

__all__ = ('Metrics',)
