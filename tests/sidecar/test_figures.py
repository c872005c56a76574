"""Figures that a process shows."""

from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    RoutedRequest,
)
from plantaingrade.sidecar.figures import Figures

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


def shown(figures: Figures) -> dict[str, float]:
    lines = figures.to_text().decode().splitlines()
    pairs = (line.rsplit(' ', 1) for line in lines if line[0] != '#')
    return {name: float(amount) for name, amount in pairs}


def total(figures: Figures, name: str, *labels: str) -> float:
    return sum(
        amount
        for shown_name, amount in shown(figures).items()
        if shown_name.startswith(f'{name}{{')
        and all(label in shown_name for label in labels)
    )


def test_every_event_counts_under_its_kind() -> None:
    figures = Figures()
    for kind in ('request', 'request', 'lease-lost', 'request'):
        figures.on_event(kind)
    name = 'plantaingrade_events_total'
    assert total(figures, name, 'kind="request"') == 3
    assert total(figures, name, 'kind="lease-lost"') == 1
    figures.on_event('request')
    assert total(figures, name, 'kind="request"') == 4
    assert total(figures, name) == 5


def test_a_request_shows_in_the_histogram_of_its_class() -> None:
    figures = Figures()
    for took_s in (0.03, 0.05, 0.3):
        figures.on_request(ROUTED, Answered(Answer(200, (), b'')), took_s)
    name = 'plantaingrade_request_duration_milliseconds'
    labels = ('service="cases"', 'outcome="Answered"', 'why="200"')
    assert total(figures, f'{name}_count', *labels) == 3
    assert total(figures, f'{name}_sum', *labels) == 380
    assert total(figures, f'{name}_bucket', *labels, 'le="60"') == 2
    assert total(figures, f'{name}_bucket', *labels, 'le="+Inf"') == 3
