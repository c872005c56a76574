"""Metrics of one process in the text format of Prometheus.

Imported at the first scrape, which on most instances never happens: the library
takes 47 ms to import. OpenTelemetry's SDK took 115 of the 600 ms of processor
time of a start (one core of a busy machine).
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
    """A gauge and its current value."""

    name: str
    description: str
    sample: float


class Snapshot(Struct, frozen=True, eq=False):
    """All metrics at one moment; histograms by their labels.

    The library uses collectors as dictionary keys, so a snapshot is hashable by
    identity.
    """

    count_by_kind: Mapping[str, int]
    duration_by_labels: Mapping[tuple[str, ...], Histogram]
    gauges: tuple[Gauge, ...]

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics in the form that the library expects."""
        yield self._events()
        yield self._durations()
        for gauge in self.gauges:
            yield GaugeMetricFamily(gauge.name, gauge.description, gauge.sample)

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
    """Return a snapshot as text."""
    registry = CollectorRegistry()
    registry.register(snapshot)
    return generate_latest(registry)
