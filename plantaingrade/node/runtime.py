"""Assemble one incarnation of a process, run it, stop it."""

import asyncio
import os
from contextlib import AsyncExitStack
from types import TracebackType
from typing import Any

import h11
from absl import logging

from plantaingrade.admission.queue import AdmissionQueue
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import DIALECT_BY_NAME
from plantaingrade.backends.entity import BackendState
from plantaingrade.clock import BootClock, Clock
from plantaingrade.http.channel import Channel
from plantaingrade.http.pool import Pool, split_address
from plantaingrade.http.server import HttpServer
from plantaingrade.journal.coordinator import (
    JournalCoordinator,
    JournalUnavailableError,
)
from plantaingrade.journal.entity import (
    Announced,
    Applied,
    ChangeOutcome,
    Ended,
    MapState,
    MemberRow,
    MemberState,
    Proof,
    Record,
    Rejected,
    StateSet,
    Witnessed,
)
from plantaingrade.leases.coordinator import LeaseCoordinator, choose_witnesses
from plantaingrade.leases.const import RENEW_EVERY_S
from plantaingrade.membership.coordinator import MembershipCoordinator
from plantaingrade.membership.datagrams import DatagramEndpoint
from plantaingrade.membership.entity import Beat
from plantaingrade.membership.rpc import make_server
from plantaingrade.metrics import Metrics
from plantaingrade.node.const import (
    INCARNATION_BYTES,
    JOIN_RETRY_S,
    LEAVE_CHECK_S,
    LEAVE_LIMIT_S,
    LEAVE_LINGER_S,
    SUPERVISE_EVERY_S,
    TICK_S,
    WITNESS_EVERY_S,
)
from plantaingrade.node.control import ControlPaths
from plantaingrade.node.settings import Settings
from plantaingrade.operators.coordinator import OperatorCoordinator
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.ownership.entity import Release
from plantaingrade.placement.coordinator import DeciderCoordinator
from plantaingrade.platform.entity import PlatformUnavailableError
from plantaingrade.platform.objects import ObjectClient
from plantaingrade.platform.table import TableClient
from plantaingrade.routing.const import CONTROL_PREFIX
from plantaingrade.routing.coordinator import RoutingCoordinator
from plantaingrade.routing.respond import refuse_malformed
from plantaingrade.routing.targets import TargetChooser


class Node:
    """One incarnation: a member of the cluster from start to stop."""

    def __init__(self, settings: Settings, clock: Clock | None = None) -> None:
        """Build every part that needs no loop."""
        self._settings = settings
        self._clock = clock or BootClock()
        nonce = os.urandom(INCARNATION_BYTES).hex()
        self.row = MemberRow(
            member=f'{settings.server}#{nonce}',
            server=settings.server,
            service=settings.service,
            zone=settings.zone,
            http=settings.advertise_http or settings.http,
            udp=settings.advertise_udp or settings.udp,
            rpc=settings.advertise_rpc or settings.rpc,
            slots=settings.slots,
            checks_fence=settings.checks_fence,
        )
        host, _ = split_address(settings.http)
        self.metrics = Metrics()
        self._pool = Pool(self._clock, host)
        self._table = TableClient(
            self._pool,
            settings.table,
            settings.table_name,
        )
        self.journal = JournalCoordinator(
            self._table,
            ObjectClient(self._pool, settings.objects, settings.bucket),
            self.row.member,
        )
        self.endpoint = DatagramEndpoint(self._on_datagram)
        self.backend = BackendCoordinator(
            self._pool,
            settings.backend,
            DIALECT_BY_NAME[settings.dialect],
        )
        self.decider = DeciderCoordinator(
            self._table,
            self.journal,
            self.row.member,
            self._clock,
            self._may_decide,
        )
        self._leaving = False
        self._joined = False
        self.lost = asyncio.Event()
        self._tasks: list[asyncio.Task[Any]] = []
        self._stack = AsyncExitStack()

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
    def state(self) -> MapState:
        """Return the map as this process knows it."""
        return self.journal.state

    async def async_setup(self) -> None:
        """Read the map, listen, announce this incarnation, run the loops."""
        self._stack.enter_context(self._pool)
        await self._load()
        self.row.witnesses = choose_witnesses(self.state, self.row)
        self._build()
        await self._listen()
        self._start(self._tick_forever())
        await self._announce()
        self._start(self.backend.async_run())
        self._start(self._supervise_forever())
        self._start(self._witness_forever())
        if self.row.checks_fence:
            self._start(self._extend_forever())
        self._start(self.membership.async_run())
        self._start(self.journal.async_follow())
        self._start(self.decider.async_compete())
        self._start(self.decider.async_decide())

    async def async_unload(self) -> None:
        """Cancel the loops and close the sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.async_close()
        self._rpc.close()
        self.endpoint.close()
        await self._stack.aclose()

    async def async_leave(self) -> None:
        """Hand everything over, finish what is in flight, then say so.

        Releases go straight to the named successors, so leaving works while
        the table service is down.
        """
        self._leaving = True
        self._server.end_connections()
        began = self._clock.now()
        self.ownership.leave()
        self.membership.spread(len(self.state.members))
        await self._try_append(StateSet(self.row.member, MemberState.DRAINING))
        while not self._has_left(self._clock.now() - began):
            await asyncio.sleep(LEAVE_CHECK_S)
        row = self.state.members.get(self.row.member)
        if row is not None and self._is_empty():
            ended = Ended(self.row.member, Proof.LEFT, row.epoch)
            await self._try_append(ended)

    def diagnose(self) -> dict[str, Any]:
        """Return the state of this process for operators."""
        row = self.state.members.get(self.row.member)
        return {
            'member': self.row.member,
            'service': self.row.service,
            'zone': self.row.zone,
            'state': None if row is None else row.state,
            'backend': self.backend.state,
            'generation': self.state.generation,
            'declaration': self.state.declaration_generation,
            'lease_left_s': self.leases.until() - self._clock.now(),
            'epochs': self.leases.holder.epochs,
            'witnessed_leases': len(self.leases.witness),
            'owned': len(self.ownership.held()),
            'not_in_journal': len(self.ownership.table.taken),
            'decider': self.decider.is_decider(),
            'datagrams_sent': self.endpoint.sent,
            'datagrams_received': self.endpoint.received,
            'datagrams_malformed': self.endpoint.malformed,
            'bytes_sent': self.endpoint.bytes_sent,
            'bytes_received': self.endpoint.bytes_received,
            'pulls': self.membership.pulls,
            'in_flight': self.ownership.work.total(),
            'queued': len(self.admission),
        }

    def _build(self) -> None:
        self.leases = LeaseCoordinator(
            self.row,
            lambda: self.state,
            self._clock,
            self.endpoint.send,
        )
        self.ownership = OwnershipCoordinator(
            self.row,
            lambda: self.state,
            self._clock,
            self.endpoint.send,
            self.leases.until,
        )
        self.journal.listen(self._on_record)
        self.membership = MembershipCoordinator(
            self.journal,
            self.endpoint,
            self.row,
            lambda: self._leaving,
        )
        self.admission = AdmissionQueue(self.row.slots)
        self._router = RoutingCoordinator(
            self.row,
            lambda: self.state,
            self.ownership,
            self.backend,
            TargetChooser(
                self.row,
                lambda: self.state,
                self.ownership,
                self._clock,
                self._accepts_work,
                self.membership.draining,
            ),
            self.admission,
            self._pool,
            self.metrics,
            self._clock,
        )
        self._control = ControlPaths(
            OperatorCoordinator(self.journal, self.decider),
            self.metrics,
            lambda: self.state,
            self.diagnose,
        )

    async def _load(self) -> None:
        while True:
            try:
                return await self.journal.async_load()
            except PlatformUnavailableError as error:
                logging.warning('Cannot join yet: %s', error)
                await asyncio.sleep(JOIN_RETRY_S)

    async def _listen(self) -> None:
        self._server = HttpServer(self._clock, self._handle, refuse_malformed)
        await self._server.async_listen(*split_address(self._settings.http))
        await self.endpoint.async_open(*split_address(self._settings.udp))
        self._rpc = make_server(self.journal)
        await self._rpc.start(*split_address(self._settings.rpc))

    async def _announce(self) -> None:
        while True:
            if self.row.service not in self.state.services:
                await self._wait_for_declaration()
            outcome = await self._try_append(Announced(self.row))
            match outcome:
                case Applied():
                    break
                case Rejected(reason=reason):
                    logging.warning('Cannot join yet: %s', reason.value)
            await asyncio.sleep(JOIN_RETRY_S)
        self._joined = True
        logging.info('Joined as %s', self.row.member)

    async def _wait_for_declaration(self) -> None:
        logging.info('Waiting until %s is declared', self.row.service)
        while self.row.service not in self.state.services:
            await asyncio.sleep(JOIN_RETRY_S)
            await self._load()

    async def _try_append(self, *changes: Any) -> ChangeOutcome | None:
        try:
            outcomes = await self.journal.async_append(*changes)
        except JournalUnavailableError:
            return None
        return outcomes[0]

    async def _handle(self, request: h11.Request, caller: Channel) -> None:
        if request.target.startswith(CONTROL_PREFIX):
            await self._control.async_handle(request, caller)
        else:
            await self._router.async_handle(request, caller)

    def _on_datagram(self, message: Any) -> None:
        match message:
            case Beat():
                self.membership.on_beat(message)
            case Release():
                self.ownership.on_release(message)
            case _:
                proven = self.leases.on_message(message)
                if proven is not None:
                    self.ownership.on_proven(proven, message.epoch)

    def _on_record(self, record: Record, outcomes: list[ChangeOutcome]) -> None:
        self.ownership.on_record(record, outcomes)
        self.leases.forget_ended()
        for change in record.changes:
            match change:
                case Witnessed(member=self.row.member):
                    self._follow_witnesses(change)

    def _follow_witnesses(self, change: Witnessed) -> None:
        if change.epoch > self.leases.holder.epochs[-1]:
            self.row.witnesses = change.witnesses
            self.row.epoch = change.epoch
            self.leases.on_new_epoch(change.epoch, change.witnesses)

    async def _tick_forever(self) -> None:
        while True:
            self.leases.tick()
            self.ownership.tick()
            for owner in self.ownership.outdated_proofs():
                self.leases.prove_again(owner)
            await asyncio.sleep(TICK_S)

    async def _extend_forever(self) -> None:
        while True:
            await asyncio.sleep(RENEW_EVERY_S)
            if self.ownership.work.total():
                await self.backend.async_extend(self.leases.until())

    async def _supervise_forever(self) -> None:
        while True:
            await asyncio.sleep(SUPERVISE_EVERY_S)
            if self._is_lost():
                logging.warning('Lease of %s is lost for good', self.row.member)
                self.lost.set()
                return
            changes = self.ownership.pending_changes()
            if changes:
                await self._try_append(*changes)
            await self._follow_backend()

    async def _follow_backend(self) -> None:
        row = self.state.members.get(self.row.member)
        if row is None:
            return
        ready = self.backend.state in {
            BackendState.READY,
            BackendState.OVERLOADED,
        }
        if ready and not self._leaving:
            self.ownership.stay()
            if row.state is MemberState.STARTING:
                change = StateSet(row.member, MemberState.READY, row.state)
                await self._try_append(change)
        elif self.backend.state in {BackendState.DOWN, BackendState.DRAINING}:
            self.ownership.leave()
            if row.state is MemberState.READY:
                change = StateSet(row.member, MemberState.STARTING, row.state)
                await self._try_append(change)

    async def _witness_forever(self) -> None:
        while True:
            await asyncio.sleep(WITNESS_EVERY_S)
            wanted = self.leases.better_witnesses()
            row = self.state.members.get(self.row.member)
            if wanted is not None and row is not None:
                change = Witnessed(row.member, wanted, row.epoch + 1)
                await self._try_append(change)

    def _is_lost(self) -> bool:
        row = self.state.members.get(self.row.member)
        over = row is None or row.state is MemberState.OVER
        return over or self.leases.holder.is_lost()

    def _is_empty(self) -> bool:
        return not self.ownership.held() and not self.ownership.work.total()

    def _has_left(self, elapsed_s: float) -> bool:
        """Tell whether nothing holds this process back any more.

        Callers use it as their entry, so it serves on for a while after its
        slices are gone.
        """
        if elapsed_s > LEAVE_LIMIT_S:
            return True
        busy = not self._is_empty() or self._server.busy
        return elapsed_s > LEAVE_LINGER_S and not busy

    def _accepts_work(self) -> bool:
        row = self.state.members.get(self.row.member)
        ready = row is not None and row.state is MemberState.READY
        serving = self.backend.state is not BackendState.DOWN
        return ready and serving and not self._leaving

    def _may_decide(self) -> bool:
        return self._joined and not self._leaving

    def _start(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(_report_crash)
        self._tasks.append(task)


def _report_crash(task: asyncio.Task[Any]) -> None:
    # A loop that dies silently would leave the process half alive: it would
    # serve on while its lease, or its view of the map, no longer moves.
    if not task.cancelled() and task.exception() is not None:
        logging.error('A loop failed', exc_info=task.exception())
        os._exit(1)
