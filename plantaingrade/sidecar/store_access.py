"""The ways in which one process calls the store."""

from msgspec import Struct

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.shared_renewals import SharedRenewals
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.delegates import Delegates
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.store.interface import Store
from plantaingrade.store.relay import RelayedStore, RelayHandler


class StoreAccess(Struct, frozen=True):
    """Store clients of a process, and its handler of others' calls.

    ``relayed`` calls the store through other processes while it rejects this
    one. ``shared_renewals`` call it together with other processes.
    """

    relayed: RelayedStore
    relay_handler: RelayHandler
    shared_renewals: SharedRenewals

    @classmethod
    def from_parts(
        cls,
        own: Member,
        direct: Store,
        directory: Directory,
        calls: PeerCalls,
        clock: Clock,
        log: EventLog,
    ) -> 'StoreAccess':
        """Connect the store clients to the parts of a process."""
        relayed = RelayedStore(direct, calls, calls.relays, clock, log)
        relay_handler = RelayHandler(direct)
        committers = Delegates(
            own,
            'renewals',
            lambda now: directory.usable(now, own.service),
        )
        return cls(
            relayed,
            relay_handler,
            SharedRenewals(
                own,
                relayed,
                relay_handler.batches,
                calls,
                committers,
                clock,
                log,
            ),
        )
