"""Run leases: hold one, witness others', collect testimony."""

import random
from collections.abc import Callable
from typing import Any

from absl import logging

from plantaingrade.clock import Clock
from plantaingrade.journal.checks import has_ended
from plantaingrade.journal.entity import (
    MapState,
    MemberRow,
    MemberState,
    WitnessesReplaced,
)
from plantaingrade.leases.const import (
    EARLIEST,
    EPOCH_CHECK_EVERY_S,
    EPOCH_SETTLE_S,
    FORMER_NOTICE_FOR_S,
    LEASE_S,
    ORPHAN_AFTER_S,
    RENEW_EVERY_S,
    WITNESS_ASKS_AFTER_S,
    WITNESS_COUNT,
)
from plantaingrade.leases.entity import (
    Ask,
    EpochAck,
    EpochCheck,
    Lapsed,
    LeaseMessage,
    Renew,
    RenewAck,
    RenewRefused,
    Testimony,
)
from plantaingrade.leases.holder import LeaseHolder
from plantaingrade.leases.polls import PollTable
from plantaingrade.leases.witness import WitnessTable

Sender = Callable[[Any, str], None]


class LeaseCoordinator:
    """Exchange lease datagrams for one member; no I/O of its own."""

    __slots__ = (
        '_candidate',
        '_clock',
        '_epoch_acks',
        '_lapsed_since',
        '_next_check_at',
        '_next_renewal_at',
        '_row',
        '_send',
        '_settled_at',
        '_state',
        'holder',
        'polls',
        'witness',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        clock: Clock,
        send: Sender,
    ) -> None:
        """Hold the lease of ``row`` at the witnesses it names."""
        self._row = row
        self._state = state
        self._clock = clock
        self._send = send
        self.holder = LeaseHolder(row.member)
        self.holder.add_epoch(row.epoch, row.witnesses)
        self.witness = WitnessTable(row.member)
        self.polls = PollTable()
        self._next_renewal_at = EARLIEST
        self._next_check_at = EARLIEST
        self._settled_at = clock.now()
        self._epoch_acks: set[str] = set()
        self._candidate: WitnessesReplaced | None = None
        self._lapsed_since: dict[tuple[str, int], float] = {}

    def until(self) -> float:
        """Return the end of this member's lease."""
        return self.holder.until()

    def is_held(self) -> bool:
        """Tell whether this member holds its lease now."""
        return self.until() > self._clock.now()

    def has_lapsed(self) -> bool:
        """Tell whether the lease has been missing for some time."""
        return self.until() + ORPHAN_AFTER_S < self._clock.now()

    def tick(self) -> None:
        """Run each system over its table once."""
        now = self._clock.now()
        if now >= self._next_renewal_at:
            self._next_renewal_at = now + RENEW_EVERY_S
            for renewal in self.holder.renewals(now, self._row.udp):
                self._send_to_member(renewal, renewal.witness)
        for notice in self.witness.lapsed(now):
            self._spread_notice(notice, now)
        for ask in self.polls.asks(now, self._row.udp):
            self._send_to_member(ask, ask.witness)
        if now >= self._next_check_at:
            self._next_check_at = now + EPOCH_CHECK_EVERY_S
            self._check_epoch()

    def on_message(self, message: LeaseMessage) -> str | None:
        """Take a datagram in; return the member whose end it proves."""
        now = self._clock.now()
        match message:
            case Renew(witness=self._row.member):
                reply = self.witness.on_renew(message, now)
                self._lapsed_since.pop((message.member, message.epoch), None)
                self._send(reply, message.reply_to)
            case RenewAck():
                self.holder.on_ack(message)
            case RenewRefused():
                self.holder.on_refused(message)
            case Ask(witness=self._row.member):
                testimony = self.witness.on_ask(message, now)
                self._send(testimony, message.reply_to)
            case Testimony():
                if self.polls.on_testimony(message, now):
                    return message.member
            case Lapsed():
                self._suspect(message.member, now)
            case EpochCheck(successor=self._row.member):
                self._judge_by(message)
            case EpochAck(member=self._row.member):
                self._count_agreement(message)
        return None

    def _count_agreement(self, ack: EpochAck) -> None:
        if ack.epoch == self.holder.epochs[-1]:
            self._epoch_acks.add(ack.successor)

    def on_new_epoch(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Note that the journal names the new witnesses."""
        self._epoch_acks.clear()
        self._candidate = None
        self.holder.add_epoch(epoch, witnesses)
        self._row.witnesses = witnesses
        self._row.epoch = epoch
        self._settled_at = self._clock.now()

    def replacement(self) -> WitnessesReplaced | None:
        """Return the change of witnesses to append now, if there is one.

        The holder first renews at the new witnesses, then requires them, and
        only then writes them down: successors may ask them as soon as they are
        named.
        """
        now = self._clock.now()
        candidate = self._candidate
        if candidate is None:
            self._choose_candidate(now)
            return None
        if candidate.epoch in self.holder.epochs:
            return candidate
        if self.holder.holds_candidate(now):
            self.holder.add_epoch(candidate.epoch, candidate.witnesses)
            return candidate
        if now > self._settled_at + EPOCH_SETTLE_S:
            self._candidate = None
        return None

    def _choose_candidate(self, now: float) -> None:
        wanted = self.better_witnesses()
        if wanted is None:
            return
        epoch = self.holder.epochs[-1] + 1
        self._candidate = WitnessesReplaced(self._row.member, wanted, epoch)
        self.holder.try_epoch(epoch, wanted)
        self._settled_at = now
        self._next_renewal_at = EARLIEST

    def prove_again(self, member: str) -> None:
        """Collect testimony anew, from the witnesses of the present epoch."""
        now = self._clock.now()
        poll = self.polls.proven_epoch(member)
        row = self._state().members.get(member)
        if row is not None and poll is not None and poll < row.epoch:
            self.polls.forget(member)
        self._suspect(member, now)

    def forget_ended(self) -> None:
        """Drop what concerns members whose end is in the journal."""
        state = self._state()
        for member, epoch in self.witness.leases():
            row = state.members.get(member)
            # An older epoch is renewed on: its holder needs it until its
            # successors have agreed to the new one.
            if row is not None and row.state is MemberState.OVER:
                self.witness.forget(member, epoch)
                self._lapsed_since.pop((member, epoch), None)
        for member in self.polls.members():
            if has_ended(state, member):
                self.polls.forget(member)
            else:
                self.polls.outdate(member, state.members[member].epoch)

    def better_witnesses(self) -> tuple[str, ...] | None:
        """Return witnesses that should replace the present ones, if any."""
        now = self._clock.now()
        epochs = self.holder.epochs
        if len(epochs) > 1 or now < self._settled_at + EPOCH_SETTLE_S:
            return None
        state = self._state()
        current = self._row.witnesses
        kept = [
            witness
            for witness in current
            if not has_ended(state, witness)
            and now - self.holder.last_ack(epochs[-1], witness) < LEASE_S
            and witness != self._row.member
        ]
        if len(kept) == WITNESS_COUNT:
            return None
        wanted = choose_witnesses(state, self._row, tuple(kept))
        if set(wanted) == set(current):
            return None
        # This member may be the one that is cut off. Replacing its witnesses
        # would only delay its successors, so it waits until they have had time
        # to take over.
        cut_off = not kept and current != (self._row.member,)
        if cut_off and now < self._renewed_at(epochs[-1]) + ORPHAN_AFTER_S:
            return None
        return wanted

    def _renewed_at(self, epoch: int) -> float:
        acked = (
            self.holder.last_ack(epoch, witness)
            for witness in self._row.witnesses
            if witness != self._row.member
        )
        return max(acked, default=EARLIEST)

    def _spread_notice(self, notice: Lapsed, now: float) -> None:
        state = self._state()
        row = state.members.get(notice.member)
        if row is None:
            return
        lease = (notice.member, notice.epoch)
        since = self._lapsed_since.setdefault(lease, now)
        # The new witnesses have no lease to miss before the member has renewed
        # at them. The former ones still tell for a while; the new ones are
        # asked, and decide.
        outdated = row.epoch != notice.epoch
        if outdated and now - since > FORMER_NOTICE_FOR_S:
            self.witness.forget(*lease)
            self._lapsed_since.pop(lease, None)
            return
        successors = {
            part.successor
            for part in state.slices.values()
            if part.owner == notice.member and part.successor
        }
        for successor in successors:
            self._send_to_member(notice, successor)
        # A member that owns nothing has no successor to end it, but it may
        # be a successor itself.
        if now - since > WITNESS_ASKS_AFTER_S:
            self._suspect(notice.member, now)

    def _suspect(self, member: str, now: float) -> None:
        row = self._state().members.get(member)
        if row is not None and row.state is not MemberState.OVER:
            self.polls.open(member, row.epoch, row.witnesses, now)

    def _judge_by(self, check: EpochCheck) -> None:
        row = self._state().members.get(check.member)
        if row is None or row.epoch < check.epoch:
            return
        # A successor that has proven the holder's end under the old witnesses
        # never agrees to new ones.
        if self.polls.accept_epoch(check.member, check.epoch):
            ack = EpochAck(check.member, check.epoch, self._row.member)
            self._send(ack, check.reply_to)

    def _check_epoch(self) -> None:
        epochs = self.holder.epochs
        if len(epochs) < 2 or self._candidate is not None:
            return
        newest = epochs[-1]
        state = self._state()
        waiting = {
            part.successor
            for part in state.slices.values()
            if part.owner == self._row.member and part.successor
        } - self._epoch_acks
        if not waiting:
            self.holder.drop_before(newest)
            logging.info('Lease epoch %d is in force', newest)
            return
        for successor in waiting:
            check = EpochCheck(
                self._row.member,
                newest,
                successor,
                self._row.udp,
            )
            self._send_to_member(check, successor)

    def _send_to_member(self, message: Any, member: str) -> None:
        row = self._state().members.get(member)
        if member == self._row.member:
            self._send(message, self._row.udp)
        elif row is not None:
            self._send(message, row.udp)


def _is_unready(row: MemberRow) -> bool:
    return row.state is not MemberState.READY


def choose_witnesses(
    state: MapState,
    row: MemberRow,
    kept: tuple[str, ...] = (),
) -> tuple[str, ...]:
    """Choose up to three witnesses, spread over availability zones.

    Members that are ready go first: the others may be cut off. With fewer than
    three other members, an own vote fills the place of the third, so that one
    lost witness does not cost the lease.
    """
    others = [
        other
        for other in state.members.values()
        if other.server != row.server
        and other.state is not MemberState.OVER
        and other.member not in kept
    ]
    random.shuffle(others)
    others.sort(key=_is_unready)
    chosen = list(kept)
    zones = {state.members[witness].zone for witness in kept} | {row.zone}
    while others and len(chosen) < WITNESS_COUNT:
        elsewhere = [other for other in others if other.zone not in zones]
        pick = (elsewhere or others)[0]
        others.remove(pick)
        zones.add(pick.zone)
        chosen.append(pick.member)
    if len(chosen) % 2 == 0:
        chosen.append(row.member)
    return tuple(chosen)
