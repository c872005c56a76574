"""Components of one incarnation and the connections between them."""

import os
from typing import Any

from msgspec import Struct

from plantaingrade.addresses import split_address
from plantaingrade.admission.queue import AdmissionQueue
from plantaingrade.backends.coordinator import BackendCoordinator
from plantaingrade.backends.dialects import DIALECT_BY_NAME
from plantaingrade.backends.entity import BackendState
from plantaingrade.clock import Clock
from plantaingrade.cloud.objects import ObjectClient
from plantaingrade.cloud.table import TableClient
from plantaingrade.http.pool import Pool
from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.journal.entity import (
    ChangeOutcome,
    MapState,
    MemberRow,
    MemberState,
    Record,
    WitnessesReplaced,
)
from plantaingrade.leases.coordinator import LeaseCoordinator
from plantaingrade.membership.coordinator import MembershipCoordinator
from plantaingrade.membership.datagrams import DatagramEndpoint
from plantaingrade.membership.entity import Heartbeat
from plantaingrade.metrics import Metrics
from plantaingrade.node.const import INCARNATION_BYTES
from plantaingrade.node.settings import Settings
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.ownership.entity import Offer, OfferAccepted, Release
from plantaingrade.placement.coordinator import DeciderCoordinator
from plantaingrade.routing.coordinator import RoutingCoordinator
from plantaingrade.routing.targets import TargetChooser


class PlatformClients(Struct):
    """Clients of the services that a process uses."""

    table: TableClient
    journal: JournalCoordinator
    pool: Pool

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        member: str,
        clock: Clock,
    ) -> 'PlatformClients':
        """Create the clients without connecting them."""
        host, _ = split_address(settings.http)
        pool = Pool(clock, host)
        table = TableClient(pool, settings.table, settings.table_name)
        store = ObjectClient(pool, settings.objects, settings.bucket)
        return cls(table, JournalCoordinator(table, store, member), pool)


def make_row(settings: Settings) -> MemberRow:
    """Return the member row of a new incarnation."""
    nonce = os.urandom(INCARNATION_BYTES).hex()
    return MemberRow(
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


class Components:
    """Coordinators of one incarnation, connected by callbacks."""

    __slots__ = (
        'admission',
        'backend',
        'clock',
        'decider',
        'endpoint',
        'joined',
        'leases',
        'leaving',
        'membership',
        'metrics',
        'ownership',
        'platform',
        'router',
        'row',
    )

    def __init__(
        self,
        settings: Settings,
        row: MemberRow,
        platform: PlatformClients,
        clock: Clock,
    ) -> None:
        """Create every component; the row must name its witnesses."""
        self.row = row
        self.clock = clock
        self.platform = platform
        self.joined = False
        self.leaving = False
        self.metrics = Metrics()
        self.endpoint = DatagramEndpoint(self._on_datagram)
        self.admission = AdmissionQueue(row.slots)
        self.backend = BackendCoordinator(
            platform.pool,
            settings.backend,
            DIALECT_BY_NAME[settings.dialect],
        )
        self._build_control_plane()
        self._build_data_path()

    @property
    def journal(self) -> JournalCoordinator:
        """Return the journal."""
        return self.platform.journal

    def state(self) -> MapState:
        """Return the local copy of the map."""
        return self.platform.journal.state

    def own_row(self) -> MemberRow | None:
        """Return this member's row in the local copy of the journal."""
        return self.state().members.get(self.row.member)

    def accepts_work(self) -> bool:
        """Return whether requests without a key may be sent here."""
        row = self.own_row()
        ready = row is not None and row.state is MemberState.READY
        serving = self.backend.state is not BackendState.DOWN
        return ready and serving and not self.leaving

    def is_lost(self) -> bool:
        """Return whether this incarnation can never hold a lease again."""
        row = self.own_row()
        over = row is None or row.state is MemberState.OVER
        return over or self.leases.holder.is_lost()

    def is_empty(self) -> bool:
        """Return whether no slice is owned and no request is in flight."""
        return (
            not self.ownership.owned_slices()
            and not self.ownership.in_flight.total()
        )

    def _build_control_plane(self) -> None:
        clock, send = self.clock, self.endpoint.send
        self.leases = LeaseCoordinator(self.row, self.state, clock, send)
        self.ownership = OwnershipCoordinator(
            self.row,
            self.state,
            clock,
            send,
            self.leases.expires_at,
        )
        self.journal.add_listener(self._on_record)
        self.membership = MembershipCoordinator(
            self.journal,
            self.endpoint,
            self.row,
            lambda: self.leaving,
        )
        self.decider = DeciderCoordinator(
            self.platform.table,
            self.journal,
            self.row.member,
            clock,
            self._may_decide,
        )

    def _may_decide(self) -> bool:
        # A process that is partitioned from its peers may still reach the table
        # service, but it should not decide without their heartbeats.
        return self.joined and not self.leaving and self.leases.is_held()

    def _build_data_path(self) -> None:
        targets = TargetChooser(
            self.row,
            self.state,
            self.ownership,
            self.clock,
            self.accepts_work,
            self.membership.draining,
        )
        self.router = RoutingCoordinator(
            self.row,
            self.state,
            self.ownership,
            self.backend,
            targets,
            self.admission,
            self.platform.pool,
            self.metrics,
            self.clock,
        )
        self.journal.add_listener(self.router.waits.on_record)

    def _on_datagram(self, message: Any) -> None:
        match message:
            case Heartbeat():
                self.membership.on_heartbeat(message)
            case Offer() | OfferAccepted() | Release():
                self.ownership.on_message(message)
            case _:
                proven_member = self.leases.on_message(message)
                if proven_member is not None:
                    self.ownership.on_proven(proven_member, message.epoch)

    def _on_record(self, record: Record, outcomes: list[ChangeOutcome]) -> None:
        self.ownership.on_record(record, outcomes)
        self.leases.forget_ended()
        for change in record.changes:
            is_witnessed = isinstance(change, WitnessesReplaced)
            if is_witnessed and change.member == self.row.member:
                self._update_witnesses(change)

    def _update_witnesses(self, change: WitnessesReplaced) -> None:
        if change.epoch > self.row.epoch:
            self.leases.on_new_epoch(change.epoch, change.witnesses)
