"""Counters, gauges and latency histograms of one process, as text."""

from collections import Counter
from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import (
    AlwaysOffExemplarFilter,
    MeterProvider,
)
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, generate_latest

from plantaingrade.const import MS_PER_S
from plantaingrade.requests.entity import (
    Answered,
    NotRun,
    Outcome,
    RoutedRequest,
    Unknown,
)

METER = 'plantaingrade'
# Upper bounds in milliseconds, about even steps around the objectives of the
# classes served, 60 to 1,000 ms.
DURATION_BOUNDS_MS = (5, 10, 20, 40, 60, 100, 150, 200, 300, 500, 1000, 2500)
DURATION = 'plantaingrade_request_duration'
Read = Callable[[], float]


class Figures:
    """Instruments of one process and a reader for them."""

    __slots__ = (
        '_count_by_kind',
        '_duration',
        '_meter',
        '_provider',
        '_registry',
    )

    def __init__(self) -> None:
        """Create the instruments, in a registry of their own."""
        # The library collects figures of the interpreter in its global
        # registry; several processes may also run in one test.
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        buckets = ExplicitBucketHistogramAggregation(DURATION_BOUNDS_MS)
        self._provider = MeterProvider(
            [reader],
            # Nothing here is traced, so no figure has an example to name;
            # to look for one takes 3 us a figure (thread time, one core).
            exemplar_filter=AlwaysOffExemplarFilter(),
            views=[View(instrument_name=DURATION, aggregation=buckets)],
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter(METER)
        self._duration = self._meter.create_histogram(
            DURATION,
            unit='ms',
            description='From the arrival of a request to its outcome.',
        )
        # To add to a counter of the library takes 8.7 us, to a sum that the
        # library asks for when it is read 0.3 us (thread time, one core).
        self._count_by_kind: Counter[str] = Counter()
        self._meter.create_observable_counter(
            'plantaingrade_events',
            [self._observe_events],
            description='Decisions and changes of belief, by kind.',
        )

    def on_request(
        self, routed: RoutedRequest, outcome: Outcome, took_s: float
    ) -> None:
        """Record one request of a caller."""
        labels = {
            'service': routed.service,
            'class': routed.kind,
            'outcome': type(outcome).__name__,
            'why': _why(outcome),
        }
        self._duration.record(took_s * MS_PER_S, labels)

    def on_event(self, kind: str) -> None:
        """Count one event."""
        self._count_by_kind[kind] += 1

    def watch(self, name: str, description: str, read: Read) -> None:
        """Show a figure that is read when it is asked for."""

        def observe(_: CallbackOptions) -> list[Observation]:  # noqa: WPS430
            return [Observation(read())]

        self._meter.create_observable_gauge(
            f'plantaingrade_{name}', [observe], description=description
        )

    def _observe_events(self, _: CallbackOptions) -> list[Observation]:
        return [
            Observation(count, {'kind': kind})
            for kind, count in self._count_by_kind.items()
        ]

    def to_text(self) -> bytes:
        """Return all figures in the text form of Prometheus."""
        return generate_latest(self._registry)


def _why(outcome: Outcome) -> str:
    match outcome:
        case Answered(answer):
            return str(answer.status)
        case NotRun(reason=reason):
            return reason.value
        case Unknown(reason=reason):
            return reason.value
