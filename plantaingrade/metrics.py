"""Counters and histograms, by OpenTelemetry."""

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from plantaingrade.outcome import Answered, NotRun, Outcome, Unknown

METER = 'plantaingrade'
TENANT_OTHER = 'other'


class Metrics:
    """Metric instruments of one process, and a reader for them."""

    __slots__ = ('_duration', '_events', '_provider', '_reader')

    def __init__(self) -> None:
        """Create the instruments."""
        self._reader = InMemoryMetricReader()
        self._provider = MeterProvider(
            [self._reader],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter(METER)
        self._duration = meter.create_histogram(
            'plantaingrade.request.duration',
            unit='ms',
            description='Time from the request head to the end of the answer.',
        )
        self._events = meter.create_counter(
            'plantaingrade.events',
            description='Retries, refusals and malformed input by kind.',
        )

    def on_request(
        self,
        service: str,
        tenant: str,
        request_class: str,
        outcome: Outcome,
        elapsed_ms: float,
    ) -> None:
        """Record the duration of a request by tenant, class and outcome."""
        self._duration.record(
            elapsed_ms,
            {
                'service': service,
                'tenant': tenant,
                'class': request_class,
                'outcome': outcome_name(outcome),
            },
        )

    def on_event(self, kind: str) -> None:
        """Count one event."""
        self._events.add(1, {'kind': kind})

    def to_json(self) -> str:
        """Return all metrics as OpenTelemetry JSON."""
        metrics = self._reader.get_metrics_data()
        return '{}' if metrics is None else metrics.to_json(indent=None)


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in headers and metrics."""
    match outcome:
        case Answered():
            return 'answered'
        case NotRun():
            return 'not-run'
        case Unknown():
            return 'unknown'
