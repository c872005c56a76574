"""Run one incarnation from its announcement to its end."""

import asyncio
from types import TracebackType
from typing import Any

from absl import logging

from plantaingrade.clock import BootClock, Clock
from plantaingrade.cloud.entity import PlatformUnavailableError
from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Request
from plantaingrade.http.pool import split_address
from plantaingrade.http.server import HttpServer
from plantaingrade.journal.entity import (
    Applied,
    Ended,
    MapState,
    MemberJoined,
    MemberState,
    Proof,
    Rejected,
    StateSet,
)
from plantaingrade.leases.coordinator import choose_witnesses
from plantaingrade.membership.rpc import make_server
from plantaingrade.node.const import (
    JOIN_RETRY_S,
    LEAVE_CHECK_S,
    LEAVE_LIMIT_S,
    LEAVE_LINGER_S,
)
from plantaingrade.node.control import ControlPaths
from plantaingrade.node.diagnostics import diagnose
from plantaingrade.node.loops import Loops
from plantaingrade.node.parts import Parts, Platform, make_row
from plantaingrade.node.settings import Settings
from plantaingrade.operators.coordinator import OperatorCoordinator
from plantaingrade.routing.const import CONTROL_PREFIX
from plantaingrade.routing.respond import refuse_malformed


class Node:
    """One member of the cluster, as a context manager."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        """Know the settings; connect to nothing yet."""
        self._settings = settings
        self._clock = clock or BootClock()
        self._row = make_row(settings)
        self._platform = Platform.from_settings(
            settings,
            self._row.member,
            self._clock,
        )

    async def __aenter__(self) -> 'Node':
        """Join the cluster and start serving."""
        await self.async_setup()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything that was started."""
        await self.async_unload()

    @property
    def lost(self) -> asyncio.Event:
        """Return the event that this incarnation has lost its lease."""
        return self._loops.lost

    @property
    def state(self) -> MapState:
        """Return the map as this process knows it."""
        return self._platform.journal.state

    async def async_setup(self) -> None:
        """Read the map, listen, announce this incarnation, run the loops."""
        await self._load()
        self._row.witnesses = choose_witnesses(self.state, self._row)
        self.parts = Parts(
            self._settings,
            self._row,
            self._platform,
            self._clock,
        )
        self._loops = Loops(self.parts)
        await self._listen()
        self._loops.start_leases()
        await self._announce()
        self._loops.start_rest()

    async def async_unload(self) -> None:
        """Cancel the loops and close the sockets."""
        await self.parts.decider.async_resign()
        await self._loops.async_stop()
        await self._server.async_close()
        self._rpc.close()
        self.parts.endpoint.close()
        self._platform.pool.close()

    async def async_leave(self) -> None:
        """Hand everything over, finish what is in flight, then say so.

        Releases go straight to the named successors, so leaving works while
        the table service is down.
        """
        began = self._clock.now()
        self.parts.leaving = True
        self._server.end_connections()
        self.parts.ownership.handover.leave()
        self.parts.membership.gossip(len(self.state.members))
        await self.parts.decider.async_resign()
        draining = StateSet(self._row.member, MemberState.DRAINING)
        await self._loops.async_try_append(draining)
        while not self._has_left(self._clock.now() - began):
            await asyncio.sleep(LEAVE_CHECK_S)
        row = self.parts.own_row()
        if row is not None and self.parts.is_empty():
            ended = Ended(row.member, Proof.LEFT, row.epoch)
            await self._loops.async_try_append(ended)

    def _has_left(self, elapsed_s: float) -> bool:
        """Tell whether nothing holds this process back any more.

        Callers use it as their entry, so it serves on for a while after its
        slices are gone.
        """
        if elapsed_s > LEAVE_LIMIT_S:
            return True
        busy = not self.parts.is_empty() or self._server.busy
        return elapsed_s > LEAVE_LINGER_S and not busy

    async def _load(self) -> None:
        while True:
            try:
                return await self._platform.journal.async_load()
            except PlatformUnavailableError as error:
                logging.warning('Cannot join yet: %s', error)
                await asyncio.sleep(JOIN_RETRY_S)

    async def _listen(self) -> None:
        parts = self.parts
        self._control = ControlPaths(
            OperatorCoordinator(parts.journal, parts.decider),
            parts.metrics,
            parts.state,
            lambda: diagnose(parts),
        )
        self._server = HttpServer(self._clock, self._serve, refuse_malformed)
        self._rpc = make_server(parts.journal)
        await self._server.async_listen(*split_address(self._settings.http))
        await parts.endpoint.async_open(*split_address(self._settings.udp))
        await self._rpc.start(*split_address(self._settings.rpc))

    async def _announce(self) -> None:
        while True:
            await self._wait_for_declaration()
            match await self._loops.async_try_append(MemberJoined(self._row)):
                case Applied():
                    break
                case Rejected(reason=reason):
                    logging.warning('Cannot join yet: %s', reason.value)
            await asyncio.sleep(JOIN_RETRY_S)
        self.parts.joined = True
        logging.info('Joined as %s', self._row.member)

    async def _wait_for_declaration(self) -> None:
        if self._row.service not in self.state.services:
            logging.info('Waiting until %s is declared', self._row.service)
        while self._row.service not in self.state.services:
            await asyncio.sleep(JOIN_RETRY_S)
            await self._load()

    async def _serve(self, request: Request, caller: Channel) -> Any:
        if request.target.startswith(CONTROL_PREFIX):
            await self._control.async_handle(request, caller)
        else:
            await self.parts.router.async_handle(request, caller)
