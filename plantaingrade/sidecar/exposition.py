"""Figures of one process in the text form of Prometheus.

Imported when figures are asked for the first time, which on most instances is
never: the library takes 47 ms to import, and OpenTelemetry's SDK before it took
115 of the 600 ms of processor time of a start (one core of a busy machine).
"""

from collections.abc import Iterator, Mapping

from msgspec import Struct
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from plantaingrade.sidecar.histogram import Histogram

DURATION = 'plantaingrade_request_duration_milliseconds'
EVENTS = 'plantaingrade_events'
DURATION_LABELS = ('service', 'class', 'outcome', 'why')


class Gauge(Struct, frozen=True):
    """A figure as it stands now."""

    name: str
    description: str
    reading: float


class Snapshot(Struct, frozen=True, eq=False):
    """All figures at one moment; histograms by their labels.

    The library keeps its collectors in a table, so it is one by identity.
    """

    count_by_kind: Mapping[str, int]
    duration_by_labels: Mapping[tuple[str, ...], Histogram]
    gauges: tuple[Gauge, ...]

    def collect(self) -> Iterator[Metric]:
        """Return the figures as the library wants them."""
        yield self._events()
        yield self._durations()
        for gauge in self.gauges:
            yield GaugeMetricFamily(
                gauge.name, gauge.description, gauge.reading
            )

    def _events(self) -> Metric:
        family = CounterMetricFamily(
            EVENTS,
            'Decisions and changes of belief, by kind.',
            labels=('kind',),
        )
        for kind, count in self.count_by_kind.items():
            family.add_metric((kind,), count)
        return family

    def _durations(self) -> Metric:
        family = HistogramMetricFamily(
            DURATION,
            'From the arrival of a request to its outcome.',
            labels=DURATION_LABELS,
        )
        for labels, histogram in self.duration_by_labels.items():
            family.add_metric(labels, histogram.cumulative(), histogram.total)
        return family


def to_text(snapshot: Snapshot) -> bytes:
    """Return figures as text."""
    registry = CollectorRegistry()
    registry.register(snapshot)
    return generate_latest(registry)
