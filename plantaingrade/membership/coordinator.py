"""Spread new records by gossip."""

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
    BEAT_EVERY_S,
    BEAT_FANOUT,
    BEAT_SPREAD,
    NEWS_FANOUT,
)
from plantaingrade.membership.datagrams import DatagramEndpoint
from plantaingrade.membership.entity import Heartbeat
from plantaingrade.membership.rpc import PullFailedError, async_pull


class MembershipCoordinator:
    """Tell peers which generation is applied here; pull what they have."""

    __slots__ = (
        '_endpoint',
        '_is_draining',
        '_journal',
        '_pulling',
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
        """Gossip on behalf of one member."""
        self._journal = journal
        self._endpoint = endpoint
        self._row = row
        self._is_draining = is_draining
        self._pulling: asyncio.Task[None] | None = None
        self.draining: set[str] = set()
        self.generation_by_member: dict[str, int] = {}
        self.pulls = 0
        journal.listen(self.on_record)

    async def async_run(self) -> None:
        """Gossip until cancelled."""
        while True:
            self.gossip(BEAT_FANOUT)
            await asyncio.sleep(BEAT_EVERY_S * random.uniform(*BEAT_SPREAD))

    def on_record(self, record: Record, _: list[ChangeOutcome]) -> None:
        """Pass news on at once."""
        self.gossip(NEWS_FANOUT)

    def gossip(self, fanout: int) -> None:
        """Send a beat to some random peers."""
        peers = [
            row
            for row in self._journal.state.members.values()
            if row.member != self._row.member
            and row.state is not MemberState.OVER
        ]
        beat = self._beat()
        for row in random.sample(peers, min(fanout, len(peers))):
            self._endpoint.send(beat, row.udp)

    def on_heartbeat(self, beat: Heartbeat) -> None:
        """Compare generations with a peer."""
        self.generation_by_member[beat.member] = beat.generation
        if beat.draining:
            self.draining.add(beat.member)
        else:
            self.draining.discard(beat.member)
        mine = self._journal.state.generation
        if beat.generation > mine:
            self._start_pull(beat.rpc)
        elif beat.generation < mine:
            self._endpoint.send(self._beat(), beat.udp)

    def _beat(self) -> Heartbeat:
        return Heartbeat(
            self._row.member,
            self._journal.state.generation,
            self._row.rpc,
            self._row.udp,
            self._is_draining(),
        )

    def _start_pull(self, address: str) -> None:
        if self._pulling is None or self._pulling.done():
            loop = asyncio.get_running_loop()
            self._pulling = loop.create_task(self._pull(address))

    async def _pull(self, address: str) -> None:
        self.pulls += 1
        try:
            reply = await async_pull(address, self._journal.state.generation)
        except PullFailedError:
            return
        if reply.state is not None:
            self._journal.replace(reply.state)
        self._journal.on_records(list(reply.records))
