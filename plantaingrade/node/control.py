"""HTTP endpoints under ``/-/`` for operators and client libraries."""

import json
from collections.abc import Callable
from typing import Any

from msgspec.structs import asdict

from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.const import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
)
from plantaingrade.http.messages import Request
from plantaingrade.journal.entity import MapState
from plantaingrade.metrics import Metrics
from plantaingrade.operators.const import (
    HEADER_COMMAND_ID,
    HEADER_OPERATOR,
    MAX_COMMAND_BYTES,
    MAX_DECLARATION_BYTES,
)
from plantaingrade.operators.coordinator import OperatorCoordinator
from plantaingrade.operators.declarations import DeclarationError
from plantaingrade.operators.entity import (
    Accepted,
    AlreadyDone,
    CommandOutcome,
    Lost,
    Query,
    Refused,
    StatementError,
    Unsettled,
)
from plantaingrade.routing.respond import send_plain

HEADER_BASED_ON = b'x-based-on'
STATUS_BY_OUTCOME = {
    Accepted: STATUS_OK,
    AlreadyDone: STATUS_OK,
    Lost: STATUS_CONFLICT,
    Refused: STATUS_CONFLICT,
    Unsettled: STATUS_UNAVAILABLE,
}


class ControlHandler:
    """Handle the control requests of one process."""

    __slots__ = ('_diagnose', '_metrics', '_operators', '_state')

    def __init__(
        self,
        operators: OperatorCoordinator,
        metrics: Metrics,
        state: Callable[[], MapState],
        diagnose: Callable[[], dict[str, Any]],
    ) -> None:
        """Use the components of one process."""
        self._operators = operators
        self._metrics = metrics
        self._state = state
        self._diagnose = diagnose

    async def async_handle(self, request: Request, caller: Channel) -> None:
        """Handle one request and send the response to the caller."""
        match request.target.split(b'/'):
            case [_, _, b'status']:
                _send_json(caller, STATUS_OK, self._diagnose())
            case [_, _, b'metrics']:
                send_plain(caller, STATUS_OK, self._metrics.to_json().encode())
            case [_, _, b'routes', service]:
                self._send_routes(caller, service.decode('ascii', 'replace'))
            case [_, _, b'statement']:
                await self._handle_statement(request, caller)
            case [_, _, b'declaration']:
                await self._handle_declaration(request, caller)
            case _:
                _send_error(caller, STATUS_NOT_FOUND, 'no such path')

    def _send_routes(self, caller: Channel, service: str) -> None:
        state = self._state()
        row = state.services.get(service)
        if row is None:
            _send_error(caller, STATUS_NOT_FOUND, 'unknown service')
            return
        http_by_member = {
            member: each.http for member, each in state.members.items()
        }
        routes = {
            slice_row.slice_id: http_by_member.get(slice_row.owner or '', '')
            for slice_row in state.slices.values()
            if slice_row.service == service
        }
        _send_json(
            caller,
            STATUS_OK,
            {
                'service': service,
                'hash': 'blake2b-64 big-endian, index = hash * slices >> 64',
                'slices': row.slices,
                'generation': state.generation,
                'routes': routes,
            },
        )

    async def _handle_statement(
        self, request: Request, caller: Channel
    ) -> None:
        # The parser is loaded only where an operator uses it.
        from plantaingrade.operators import grammar  # noqa: WPS433

        raw = await read_body(caller)
        if len(raw) > MAX_COMMAND_BYTES:
            _send_error(caller, STATUS_TOO_LARGE, 'statement too long')
            return
        text = raw.decode(errors='replace')
        try:
            statement = grammar.parse_statement(text)
        except StatementError as error:
            _send_error(caller, STATUS_BAD_REQUEST, str(error))
            return
        if isinstance(statement, Query):
            answer = self._operators.answer(statement)
            _send_json(caller, STATUS_OK, answer)
            return
        headers = dict(request.headers)
        command_id = headers.get(HEADER_COMMAND_ID, b'').decode()
        if not command_id:
            _send_error(caller, STATUS_BAD_REQUEST, 'x-command-id is missing')
            return
        operator = headers.get(HEADER_OPERATOR, b'unnamed').decode()
        outcome = await self._operators.async_command(
            statement,
            command_id,
            operator,
            text,
        )
        _send_outcome(caller, outcome)

    async def _handle_declaration(
        self, request: Request, caller: Channel
    ) -> None:
        raw = await read_body(caller)
        if len(raw) > MAX_DECLARATION_BYTES:
            _send_error(caller, STATUS_TOO_LARGE, 'document too long')
            return
        based_on = dict(request.headers).get(HEADER_BASED_ON, b'0')
        if not based_on.isdigit():
            _send_error(
                caller, STATUS_BAD_REQUEST, 'x-based-on is not a number'
            )
            return
        try:
            outcome = await self._operators.async_declare(
                raw.decode(errors='replace'),
                int(based_on),
            )
        except DeclarationError as error:
            _send_error(caller, STATUS_BAD_REQUEST, str(error))
            return
        _send_outcome(caller, outcome)


def _send_outcome(caller: Channel, outcome: CommandOutcome) -> None:
    headers: tuple[tuple[bytes, bytes], ...] = ()
    if isinstance(outcome, Unsettled):
        after = str(outcome.retry_after_s).encode()
        headers = ((b'retry-after', after),)
    body = {'outcome': type(outcome).__name__.lower(), **asdict(outcome)}
    _send_json(caller, STATUS_BY_OUTCOME[type(outcome)], body, headers)


def _send_error(caller: Channel, status: int, text: str) -> None:
    _send_json(caller, status, {'error': text})


def _send_json(
    caller: Channel,
    status: int,
    fields: Any,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    kind = (b'content-type', b'application/json')
    send_plain(caller, status, json.dumps(fields).encode(), (kind, *headers))
