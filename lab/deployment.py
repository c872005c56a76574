"""Deployments to play, read from TOML files."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from plantaingrade.errors import PlantaingradeError


class DeploymentError(PlantaingradeError):
    """Report every mistake in a deployment file."""

    advice = 'Mend the lines named.'


class Part(Struct, frozen=True, forbid_unknown_fields=True):
    """One table of a deployment file."""


class Ways(Part, frozen=True):
    """Times one way, in milliseconds."""

    in_zone_ms: float = 0.2
    cross_zone_ms: float = 1.4
    caller_ms: float = 1.0
    hop_ms: float = 0.6


class Service(Part, frozen=True):
    """Servers that do the same work; speeds are dealt out in turn."""

    name: str
    servers: int
    slots: int
    speeds: list[float] = field(default_factory=lambda: [1.0])
    is_keyed: bool = False


class Call(Part, frozen=True):
    """Calls that a server makes while it runs a request."""

    kind: str
    times: int = 1
    share: float = 1.0
    is_together: bool = True


class Kind(Part, frozen=True):
    """One kind of requests; those that callers never send have no rate."""

    name: str
    service: str
    work_ms: float
    objective_ms: float
    deadline_ms: float
    per_s: float = 0.0
    spread: float = 0.5
    worth: float = 0.0
    late_worth: float = 0.0
    priority: int = 0
    is_idempotent: bool = True
    retries: int = 0
    calls: list[Call] = field(default_factory=list)


class Hot(Part, frozen=True):
    """Neighbouring keys that get a share of all requests with a key."""

    at_s: float
    for_s: float
    share: float
    keys: int


class Slow(Part, frozen=True):
    """A share of a service's servers that take several times as long."""

    service: str
    at_s: float
    for_s: float
    share: float
    times: float


class Down(Part, frozen=True):
    """A share of a service's servers that take no work."""

    service: str
    at_s: float
    for_s: float
    share: float


class Burst(Part, frozen=True):
    """More requests than usual."""

    at_s: float
    for_s: float
    times: float


class Deployment(Part, frozen=True):
    """Zones, servers, requests, and what happens to them when."""

    zones: list[str]
    service: list[Service]
    kind: list[Kind]
    length_s: float = 15.0
    warm_s: float = 2.0
    ways: Ways = field(default_factory=Ways)
    hot: list[Hot] = field(default_factory=list)
    slow: list[Slow] = field(default_factory=list)
    down: list[Down] = field(default_factory=list)
    burst: list[Burst] = field(default_factory=list)


def read_deployment(path: Path) -> Deployment:
    """Return the deployment in a file.

    Raises:
        DeploymentError: what is wrong, one mistake a line with its place.
    """
    try:
        text = path.read_text(encoding='utf-8')
        tables = tomllib.loads(text)
    except OSError as error:
        raise DeploymentError(f'{path}: {error.strerror}') from error
    except ValueError as error:
        raise DeploymentError(f'{path}: {error}') from error
    mistakes = [
        f'{path}:{_line(text, table, place)}: {what}'
        for table, place, what in _find_mistakes(tables)
    ]
    if mistakes:
        raise DeploymentError('\n'.join(mistakes))
    return msgspec.convert(tables, Deployment)


def _find_mistakes(tables: dict[str, Any]) -> list[tuple[str, int, str]]:
    """Return table, place among its like, and text of each mistake."""
    mistakes = []
    types = {
        'service': Service,
        'kind': Kind,
        'hot': Hot,
        'slow': Slow,
        'down': Down,
        'burst': Burst,
    }
    for table, kind in types.items():
        for place, each in enumerate(tables.get(table, ())):
            what = _why_not(each, kind)
            if what:
                mistakes.append((table, place, what))
    rest = {name: each for name, each in tables.items() if name not in types}
    what = _why_not(rest | {'service': [], 'kind': []}, Deployment)
    if what:
        mistakes.append(('', 0, what))
    return mistakes + _find_unnamed(tables)


def _find_unnamed(tables: dict[str, Any]) -> list[tuple[str, int, str]]:
    """Return the references to services and kinds that are not there."""
    services = {each.get('name') for each in tables.get('service', ())}
    kinds = {each.get('name') for each in tables.get('kind', ())}
    mistakes = []
    for table in ('kind', 'slow', 'down'):
        for place, each in enumerate(tables.get(table, ())):
            service = each.get('service')
            if service not in services:
                mistakes.append((table, place, f'no service {service!r}'))
            for call in each.get('calls', ()):
                if call.get('kind') not in kinds:
                    what = f'no kind {call.get("kind")!r} to call'
                    mistakes.append((table, place, what))
    return mistakes


def _why_not(table: Any, kind: type[Part]) -> str:
    try:
        msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        return str(error)
    return ''


def _line(text: str, table: str, place: int) -> int:
    """Return the line on which a table begins."""
    heads = [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if line.strip() == f'[[{table}]]'
    ]
    return heads[place] if place < len(heads) else 1
