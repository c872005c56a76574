"""Replicate new journal records by gossip."""

import asyncio
import random
from collections.abc import Callable

from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.journal.entity import (
    ChangeOutcome,
    MemberRow,
    MemberState,
    Record,
)
from plantaingrade.membership.const import (
    HEARTBEAT_FANOUT,
    HEARTBEAT_INTERVAL_S,
    HEARTBEAT_JITTER,
    RECORD_FANOUT,
)
from plantaingrade.membership.datagrams import DatagramEndpoint
from plantaingrade.membership.entity import Heartbeat
from plantaingrade.membership.rpc import PullFailedError, async_pull


class MembershipCoordinator:
    """Announce the applied generation to peers; pull newer records."""

    __slots__ = (
        '_endpoint',
        '_is_draining',
        '_journal',
        '_pull_task',
        '_row',
        'draining',
        'generation_by_member',
        'pulls',
    )

    def __init__(
        self,
        journal: JournalCoordinator,
        endpoint: DatagramEndpoint,
        row: MemberRow,
        is_draining: Callable[[], bool],
    ) -> None:
        """Gossip on behalf of the member in ``row``."""
        self._journal = journal
        self._endpoint = endpoint
        self._row = row
        self._is_draining = is_draining
        self._pull_task: asyncio.Task[None] | None = None
        self.draining: set[str] = set()
        self.generation_by_member: dict[str, int] = {}
        self.pulls = 0
        journal.add_listener(self.on_record)

    async def async_run(self) -> None:
        """Send heartbeats to random peers until cancelled."""
        while True:
            self.gossip(HEARTBEAT_FANOUT)
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * random.uniform(*HEARTBEAT_JITTER)
            )

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """Announce a new record at once."""
        self.gossip(RECORD_FANOUT)

    def gossip(self, fanout: int) -> None:
        """Send a heartbeat to ``fanout`` random peers."""
        peers = [
            row
            for row in self._journal.state.members.values()
            if row.member != self._row.member
            and row.state is not MemberState.OVER
        ]
        heartbeat = self._heartbeat()
        for row in random.sample(peers, min(fanout, len(peers))):
            self._endpoint.send(heartbeat, row.udp)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pull records from a peer that is ahead; notify one that is behind."""
        self.generation_by_member[heartbeat.member] = heartbeat.generation
        if heartbeat.draining:
            self.draining.add(heartbeat.member)
        else:
            self.draining.discard(heartbeat.member)
        own_generation = self._journal.state.generation
        if heartbeat.generation > own_generation:
            self._start_pull(heartbeat.rpc)
        elif heartbeat.generation < own_generation:
            self._endpoint.send(self._heartbeat(), heartbeat.udp)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._row.member,
            self._journal.state.generation,
            self._row.rpc,
            self._row.udp,
            self._is_draining(),
        )

    def _start_pull(self, address: str) -> None:
        if self._pull_task is None or self._pull_task.done():
            loop = asyncio.get_running_loop()
            self._pull_task = loop.create_task(self._async_pull(address))

    async def _async_pull(self, address: str) -> None:
        self.pulls += 1
        try:
            reply = await async_pull(address, self._journal.state.generation)
        except PullFailedError:
            return
        if reply.state is not None:
            self._journal.replace(reply.state)
        self._journal.on_records(list(reply.records))
