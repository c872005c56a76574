"""Deployments to simulate, read from TOML files."""

import tomllib
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct, field

from plantaingrade.errors import PlantaingradeError


class DeploymentError(PlantaingradeError):
    """A deployment file is invalid; the text lists every mistake."""

    advice = 'Fix the lines named.'


class Table(Struct, frozen=True, forbid_unknown_fields=True):
    """One table of a deployment file."""


class Delays(Table, frozen=True):
    """One-way network delays in milliseconds."""

    in_zone_ms: float = 0.2
    cross_zone_ms: float = 1.4
    caller_ms: float = 1.0
    hop_ms: float = 0.6


class Noise(Table, frozen=True):
    """Work that takes longer by a factor at a share of the servers at a time.

    Which servers these are is drawn anew after each interval.
    """

    share: float
    times: float
    every_ms: float


class Service(Table, frozen=True):
    """Servers that do the same work; they get the speeds in rotation."""

    name: str
    servers: int
    slots: int
    speeds: list[float] = field(default_factory=lambda: [1.0])
    is_keyed: bool = False
    noise: Noise | None = None


class Call(Table, frozen=True):
    """Calls that a server makes while it runs a request."""

    kind: str
    times: int = 1
    share: float = 1.0
    is_together: bool = True


class RequestKind(Table, frozen=True):
    """One kind of requests; without a rate, only servers send them."""

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


class HotKeys(Table, frozen=True):
    """Adjacent keys that receive a share of all requests with a key.

    With a ``kind``, they receive that share of the requests of this kind only.
    """

    at_s: float
    for_s: float
    share: float
    keys: int
    kind: str = ''


class Slowdown(Table, frozen=True):
    """A share of a service's servers whose work takes longer by a factor."""

    service: str
    at_s: float
    for_s: float
    share: float
    times: float


class Outage(Table, frozen=True):
    """A share of a service's servers that accept no work."""

    service: str
    at_s: float
    for_s: float
    share: float


class Burst(Table, frozen=True):
    """A time in which the request rate is multiplied."""

    at_s: float
    for_s: float
    times: float


class Deployment(Table, frozen=True):
    """Zones, services, requests and scheduled faults and bursts."""

    zones: list[str]
    service: list[Service]
    kind: list[RequestKind]
    length_s: float = 15.0
    warm_s: float = 2.0
    ways: Delays = field(default_factory=Delays)
    hot: list[HotKeys] = field(default_factory=list)
    slow: list[Slowdown] = field(default_factory=list)
    down: list[Outage] = field(default_factory=list)
    burst: list[Burst] = field(default_factory=list)


def read_deployment(path: Path) -> Deployment:
    """Return the deployment in a file.

    Raises:
        DeploymentError: the file is invalid; the text has one mistake a line.
    """
    try:
        text = path.read_text(encoding='utf-8')
        tables = tomllib.loads(text)
    except OSError as error:
        raise DeploymentError(f'{path}: {error.strerror}') from error
    except ValueError as error:
        raise DeploymentError(f'{path}: {error}') from error
    mistakes = [
        f'{path}:{_line_number(text, table, index)}: {message}'
        for table, index, message in _find_mistakes(tables)
    ]
    if mistakes:
        raise DeploymentError('\n'.join(mistakes))
    return msgspec.convert(tables, Deployment)


def _find_mistakes(tables: dict[str, Any]) -> list[tuple[str, int, str]]:
    """Return table, index in it, and message of each mistake."""
    mistakes = []
    types = {
        'service': Service,
        'kind': RequestKind,
        'hot': HotKeys,
        'slow': Slowdown,
        'down': Outage,
        'burst': Burst,
    }
    for table, kind in types.items():
        for index, each in enumerate(tables.get(table, ())):
            message = _validate(each, kind)
            if message:
                mistakes.append((table, index, message))
    other_tables = {
        name: each for name, each in tables.items() if name not in types
    }
    message = _validate(other_tables | {'service': [], 'kind': []}, Deployment)
    if message:
        mistakes.append(('', 0, message))
    return mistakes + _find_unknown_names(tables)


def _find_unknown_names(tables: dict[str, Any]) -> list[tuple[str, int, str]]:
    """Return references to services and kinds that are not defined."""
    services = {each.get('name') for each in tables.get('service', ())}
    kinds = {each.get('name') for each in tables.get('kind', ())}
    mistakes = _find_unknown_hot_kinds(tables, kinds)
    for table in ('kind', 'slow', 'down'):
        for index, each in enumerate(tables.get(table, ())):
            service = each.get('service')
            if service not in services:
                mistakes.append((table, index, f'no service {service!r}'))
            for call in each.get('calls', ()):
                if call.get('kind') not in kinds:
                    message = f'no kind {call.get("kind")!r} to call'
                    mistakes.append((table, index, message))
    return mistakes


def _find_unknown_hot_kinds(
    tables: dict[str, Any], kinds: set[str]
) -> list[tuple[str, int, str]]:
    mistakes = []
    for index, each in enumerate(tables.get('hot', ())):
        kind = each.get('kind')
        if kind and kind not in kinds:
            mistakes.append(('hot', index, f'no kind {kind!r}'))
    return mistakes


def _validate(table: Any, kind: type[Table]) -> str:
    try:
        msgspec.convert(table, kind)
    except msgspec.ValidationError as error:
        return str(error)
    return ''


def _line_number(text: str, table: str, index: int) -> int:
    """Return the line on which a table begins."""
    headings = [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if line.strip() == f'[[{table}]]'
    ]
    return headings[index] if index < len(headings) else 1
