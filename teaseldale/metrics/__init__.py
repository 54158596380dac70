"""Counters, gauges and latency histograms of one VM."""

from teaseldale.metrics._metrics import Metrics
from teaseldale.metrics._peer_traffic import PeerTraffic

__all__ = ('Metrics', 'PeerTraffic')
