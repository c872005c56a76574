"""Which pipelined requests of callers may begin before their turn."""

from collections.abc import Callable

from plantaingrade.eventlog import EventLog
from plantaingrade.http.messages import Request
from plantaingrade.http.read_ahead import ReadAheadHooks
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.coordinator import RequestCoordinator
from plantaingrade.requests.entity import CallerRequest
from plantaingrade.requests.errors import MalformedRequestError


def make_read_ahead(
    coordinator: RequestCoordinator,
    budget: BufferBudget,
    decode: Callable[[Request, bytes, float], CallerRequest],
    log: EventLog,
) -> ReadAheadHooks:
    """Return hooks that know routes, the budget of a process and its log."""

    def on_withdrawn(raw: Request) -> None:  # noqa: WPS430
        log.write(
            'early-request-withdrawn',
            id=_request_id(raw, decode),
            ahead=raw.ahead,
        )

    return ReadAheadHooks(coordinator.may_repeat, budget, on_withdrawn)


def _request_id(
    raw: Request, decode: Callable[[Request, bytes, float], CallerRequest]
) -> str:
    try:
        caller = decode(raw, b'', raw.arrived)
    except MalformedRequestError:
        return ''
    return caller.request_id.decode('ascii', 'replace')
