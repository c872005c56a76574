"""Lifecycle of one incarnation: join, serve and leave."""

import asyncio
from types import TracebackType
from typing import Any

from absl import logging

from plantaingrade.addresses import split_address
from plantaingrade.clock import BootClock, Clock
from plantaingrade.cloud.entity import PlatformUnavailableError
from plantaingrade.http.channel import Channel
from plantaingrade.http.messages import Request
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
from plantaingrade.node.components import Components, PlatformClients, make_row
from plantaingrade.node.const import (
    JOIN_RETRY_S,
    LEAVE_CHECK_S,
    LEAVE_LIMIT_S,
    LEAVE_LINGER_S,
)
from plantaingrade.node.control import ControlHandler
from plantaingrade.node.diagnostics import diagnose
from plantaingrade.node.loops import Loops
from plantaingrade.node.settings import Settings
from plantaingrade.operators.coordinator import OperatorCoordinator
from plantaingrade.routing.const import CONTROL_PREFIX
from plantaingrade.routing.respond import refuse_malformed


class Node:
    """One member of the cluster, as a context manager."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        """Prepare an incarnation without connecting to anything."""
        self._settings = settings
        self._clock = clock or BootClock()
        self._row = make_row(settings)
        self._platform = PlatformClients.from_settings(
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
        """Stop the node without leaving the cluster."""
        await self.async_unload()

    @property
    def lease_lost(self) -> asyncio.Event:
        """Return the event set when the lease is lost permanently."""
        return self._loops.lease_lost

    @property
    def state(self) -> MapState:
        """Return the local copy of the map."""
        return self._platform.journal.state

    async def async_setup(self) -> None:
        """Read the map, listen, announce the member and start the loops."""
        await self._load()
        self._row.witnesses = choose_witnesses(self.state, self._row)
        self.components = Components(
            self._settings,
            self._row,
            self._platform,
            self._clock,
        )
        self._loops = Loops(self.components)
        await self._listen()
        self._loops.start_lease_loop()
        await self._announce()
        self._loops.start_member_loops()

    async def async_unload(self) -> None:
        """Cancel the loops and close the sockets."""
        await self.components.decider.async_resign()
        await self._loops.async_stop()
        await self._server.async_close()
        self._rpc.close()
        self.components.endpoint.close()
        self._platform.pool.close()

    async def async_leave(self) -> None:
        """Release all slices, finish running requests and record the end.

        Releases are sent directly to the named successors, so leaving works
        while the table service is down.
        """
        started_at = self._clock.now()
        self.components.leaving = True
        self._server.end_connections()
        self.components.ownership.handover.leave()
        self.components.membership.gossip(len(self.state.members))
        await self.components.decider.async_resign()
        draining = StateSet(self._row.member, MemberState.DRAINING)
        await self._loops.async_try_append(draining)
        while not self._may_stop(self._clock.now() - started_at):
            await asyncio.sleep(LEAVE_CHECK_S)
        row = self.components.own_row()
        if row is not None and self.components.is_empty():
            ended = Ended(row.member, Proof.LEFT, row.epoch)
            await self._loops.async_try_append(ended)

    def _may_stop(self, elapsed_s: float) -> bool:
        """Return whether the process may stop.

        Callers use it as their entry point, so it goes on serving for a while
        after its slices are released.
        """
        if elapsed_s > LEAVE_LIMIT_S:
            return True
        busy = not self.components.is_empty() or self._server.active_requests
        return elapsed_s > LEAVE_LINGER_S and not busy

    async def _load(self) -> None:
        while True:
            try:
                return await self._platform.journal.async_load()
            except PlatformUnavailableError as error:
                logging.warning('Cannot join yet: %s', error)
                await asyncio.sleep(JOIN_RETRY_S)

    async def _listen(self) -> None:
        components = self.components
        self._control = ControlHandler(
            OperatorCoordinator(components.journal, components.decider),
            components.metrics,
            components.state,
            lambda: diagnose(components),
        )
        self._server = HttpServer(self._clock, self._serve, refuse_malformed)
        self._rpc = make_server(components.journal)
        await self._server.async_listen(*split_address(self._settings.http))
        await components.endpoint.async_open(*split_address(self._settings.udp))
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
        self.components.joined = True
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
            await self.components.router.async_handle(request, caller)
