"""Metrics that a process exposes."""

from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    RoutedRequest,
)
from plantaingrade.sidecar.metrics import Metrics

CALLER = CallerRequest(
    request_id=b'r1',
    method=b'GET',
    target=b'/read/1',
    host=b'x.example',
    key=None,
    headers=(),
    body=b'',
    arrived=0.0,
    deadline=1.0,
)
ROUTED = RoutedRequest(CALLER, 'here', 'cases', True, 2, 1.0, 0.3)


def exposed(metrics: Metrics) -> dict[str, float]:
    lines = metrics.to_text().decode().splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line[0] != '#')
    return {name: float(amount) for name, amount in pairs}


def total(metrics: Metrics, name: str, *labels: str) -> float:
    return sum(
        amount
        for shown_name, amount in exposed(metrics).items()
        if shown_name.startswith(f'{name}{{')
        and all(label in shown_name for label in labels)
    )


def test_events_are_counted_by_kind() -> None:
    metrics = Metrics()
    for kind in ('request', 'request', 'lease-lost', 'request'):
        metrics.on_event(kind)
    name = 'plantaingrade_events_total'
    assert total(metrics, name, 'kind="request"') == 3
    assert total(metrics, name, 'kind="lease-lost"') == 1
    metrics.on_event('request')
    assert total(metrics, name, 'kind="request"') == 4
    assert total(metrics, name) == 5


def test_request_is_counted_in_the_histogram_of_its_class() -> None:
    metrics = Metrics()
    for took_s in (0.03, 0.05, 0.3):
        metrics.on_request(ROUTED, Answered(Answer(200, (), b'')), took_s)
    name = 'plantaingrade_request_duration_milliseconds'
    labels = ('service="cases"', 'outcome="Answered"', 'why="200"')
    assert total(metrics, f'{name}_count', *labels) == 3
    assert total(metrics, f'{name}_sum', *labels) == 380
    assert total(metrics, f'{name}_bucket', *labels, 'le="60"') == 2
    assert total(metrics, f'{name}_bucket', *labels, 'le="+Inf"') == 3
