"""Counters, gauges and latency histograms with their text exposition."""

from collections import Counter

from hdrh.histogram import HdrHistogram

_MIN_MS = 1
_MAX_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50, 95, 99)


class Metrics:
    """Registry of counters, gauges and histograms; one instance per VM."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, int] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def increment(self, name: str, reason: str = '', amount: int = 1) -> None:
        """Adds ``amount`` to the counter ``name`` labelled ``reason``."""
        self._counters[name, reason] += amount

    def counter_value(self, name: str, reason: str = '') -> int:
        """Returns the value of a counter; 0 if it was never incremented."""
        return self._counters[name, reason]

    def set_gauge(self, name: str, amount: int) -> None:
        """Sets the gauge ``name`` to ``amount``."""
        self._gauges[name] = amount

    def record_ms(self, name: str, duration_ms: int) -> None:
        """Records a duration in the histogram ``name``.

        Shorter durations are recorded as 1 ms.
        """
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _MIN_MS,
                _MAX_MS,
                _SIGNIFICANT_DIGITS,
            )
            self._histograms[name] = histogram
        histogram.record_value(max(_MIN_MS, duration_ms))

    def quantile_ms(self, name: str, percent: float) -> int:
        """Returns the ``percent`` percentile; 0 if nothing was recorded."""
        histogram = self._histograms.get(name)
        if histogram is None:
            return 0
        return int(histogram.get_value_at_percentile(percent))

    def render(self) -> str:
        """Returns the text exposition of all metrics, sorted by name."""
        lines = [
            f'teaseldale_{name}_total{_label("reason", reason)} {count}'
            for (name, reason), count in sorted(self._counters.items())
        ]
        lines.extend(
            f'teaseldale_{name} {amount}'
            for name, amount in sorted(self._gauges.items())
        )
        for name in sorted(self._histograms):
            lines.extend(self._render_quantiles(name))
        lines.append('')
        return '\n'.join(lines)

    def _render_quantiles(self, name: str) -> list[str]:
        return [
            f'teaseldale_{name}_ms{_label("quantile", str(percent / 100))} '
            f'{self.quantile_ms(name, percent)}'
            for percent in _QUANTILES
        ]


def _label(name: str, label_value: str) -> str:
    if not label_value:
        return ''
    return f'{{{name}="{label_value}"}}'
