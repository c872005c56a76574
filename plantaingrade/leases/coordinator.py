"""Hold a lease, witness the leases of peers, and poll for ended ones."""

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
    ISOLATED_AFTER_S,
    LEASE_S,
    RENEW_EVERY_S,
    WITNESS_COUNT,
    WITNESS_POLLS_AFTER_S,
)
from plantaingrade.leases.entity import (
    EpochAck,
    EpochCheck,
    Lapsed,
    LeaseMessage,
    Renew,
    RenewAck,
    RenewRefused,
    Testimony,
    TestimonyRequest,
)
from plantaingrade.leases.holder import LeaseHolder
from plantaingrade.leases.polls import PollTable
from plantaingrade.leases.witness import WitnessTable

Sender = Callable[[Any, str], None]


class LeaseCoordinator:
    """Exchange the lease datagrams of one member; does no I/O itself."""

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
        """Hold the lease of ``row`` at the witnesses listed there."""
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

    def expires_at(self) -> float:
        """Return the end of this member's lease, in seconds on its clock."""
        return self.holder.expires_at()

    def is_held(self) -> bool:
        """Return whether this member holds its lease now."""
        return self.expires_at() > self._clock.now()

    def is_isolated(self) -> bool:
        """Return whether the lease ended over ``ISOLATED_AFTER_S`` ago."""
        return self.expires_at() + ISOLATED_AFTER_S < self._clock.now()

    def tick(self) -> None:
        """Send all renewals, notices, requests and checks that are due."""
        now = self._clock.now()
        if now >= self._next_renewal_at:
            self._next_renewal_at = now + RENEW_EVERY_S
            for renewal in self.holder.renewals(now, self._row.udp):
                self._send_to_member(renewal, renewal.witness)
        for notice in self.witness.notices_due(now):
            self._send_notice(notice, now)
        for request in self.polls.requests_due(now, self._row.udp):
            self._send_to_member(request, request.witness)
        if now >= self._next_check_at:
            self._next_check_at = now + EPOCH_CHECK_EVERY_S
            self._confirm_epoch()

    def on_message(self, message: LeaseMessage) -> str | None:
        """Handle a datagram; return the member whose lease it proves ended."""
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
            case TestimonyRequest(witness=self._row.member):
                testimony = self.witness.on_request(message, now)
                self._send(testimony, message.reply_to)
            case Testimony():
                if self.polls.on_testimony(message, now):
                    return message.member
            case Lapsed():
                self._open_poll(message.member, now)
            case EpochCheck(successor=self._row.member):
                self._on_epoch_check(message)
            case EpochAck(member=self._row.member):
                self._on_epoch_ack(message)
        return None

    def _on_epoch_ack(self, ack: EpochAck) -> None:
        if ack.epoch == self.holder.epochs[-1]:
            self._epoch_acks.add(ack.successor)

    def on_new_epoch(self, epoch: int, witnesses: tuple[str, ...]) -> None:
        """Handle a change of this member's witnesses in the journal."""
        self._epoch_acks.clear()
        self._candidate = None
        self.holder.add_epoch(epoch, witnesses)
        self._row.witnesses = witnesses
        self._row.epoch = epoch
        self._settled_at = self._clock.now()

    def next_witness_change(self) -> WitnessesReplaced | None:
        """Return the change of witnesses to append now, if any.

        The holder first renews at the new witnesses, then requires them, and
        only then records them, as successors may poll them once the journal
        names them.
        """
        now = self._clock.now()
        candidate = self._candidate
        if candidate is None:
            self._choose_candidate(now)
            return None
        if candidate.epoch in self.holder.epochs:
            return candidate
        if self.holder.is_candidate_held(now):
            self.holder.add_epoch(candidate.epoch, candidate.witnesses)
            return candidate
        if now > self._settled_at + EPOCH_SETTLE_S:
            self._candidate = None
        return None

    def _choose_candidate(self, now: float) -> None:
        wanted = self.replacement_witnesses()
        if wanted is None:
            return
        epoch = self.holder.epochs[-1] + 1
        self._candidate = WitnessesReplaced(self._row.member, wanted, epoch)
        self.holder.add_candidate(epoch, wanted)
        self._settled_at = now
        self._next_renewal_at = EARLIEST

    def reopen_poll(self, member: str) -> None:
        """Restart the poll about a member with its current witnesses."""
        now = self._clock.now()
        known = self.polls.proven_epoch(member)
        row = self._state().members.get(member)
        if row is not None and known is not None and known < row.epoch:
            self.polls.forget(member)
        self._open_poll(member, now)

    def forget_ended(self) -> None:
        """Drop the leases and polls of members that ended in the journal."""
        state = self._state()
        for member, epoch in self.witness.leases():
            row = state.members.get(member)
            # Older epochs are still renewed: the holder requires them until
            # its successors have accepted the new one.
            if row is not None and row.state is MemberState.OVER:
                self.witness.forget(member, epoch)
                self._lapsed_since.pop((member, epoch), None)
        for member in self.polls.members():
            if has_ended(state, member):
                self.polls.forget(member)
            else:
                self.polls.drop_outdated(member, state.members[member].epoch)

    def replacement_witnesses(self) -> tuple[str, ...] | None:
        """Return witnesses that should replace the current ones, if any."""
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
        # This member itself may be the isolated one. Replacing its witnesses
        # would then only delay its successors, so it first leaves them time to
        # take over.
        is_cut_off = not kept and current != (self._row.member,)
        if (
            is_cut_off
            and now < self._last_renewed_at(epochs[-1]) + ISOLATED_AFTER_S
        ):
            return None
        return wanted

    def _last_renewed_at(self, epoch: int) -> float:
        acked = (
            self.holder.last_ack(epoch, witness)
            for witness in self._row.witnesses
            if witness != self._row.member
        )
        return max(acked, default=EARLIEST)

    def _send_notice(self, notice: Lapsed, now: float) -> None:
        state = self._state()
        row = state.members.get(notice.member)
        if row is None:
            return
        lease = (notice.member, notice.epoch)
        since = self._lapsed_since.setdefault(lease, now)
        # New witnesses cannot notice a lapse before the member has renewed with
        # them, so the former ones send notices for a while. Only the testimony
        # of the new ones counts.
        is_former = row.epoch != notice.epoch
        if is_former and now - since > FORMER_NOTICE_FOR_S:
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
        # A member that owns nothing has no successor that would poll, but it
        # may itself be the successor of others, so the witness polls.
        if now - since > WITNESS_POLLS_AFTER_S:
            self._open_poll(notice.member, now)

    def _open_poll(self, member: str, now: float) -> None:
        row = self._state().members.get(member)
        if row is not None and row.state is not MemberState.OVER:
            self.polls.open(member, row.epoch, row.witnesses, now)

    def _on_epoch_check(self, check: EpochCheck) -> None:
        row = self._state().members.get(check.member)
        if row is None or row.epoch < check.epoch:
            return
        # A successor that has proven the end of the lease with the old
        # witnesses never accepts new ones.
        if self.polls.accept_epoch(check.member, check.epoch):
            ack = EpochAck(check.member, check.epoch, self._row.member)
            self._send(ack, check.reply_to)

    def _confirm_epoch(self) -> None:
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
            self.holder.drop_epochs_before(newest)
            logging.info('All successors accepted lease epoch %d', newest)
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

    Ready members are preferred: the others may be cut off. If the number of
    witnesses is even, the member itself votes as one more, so that the loss of
    one witness does not cost the lease.
    """
    peers = [
        peer
        for peer in state.members.values()
        if peer.server != row.server
        and peer.state is not MemberState.OVER
        and peer.member not in kept
    ]
    random.shuffle(peers)
    peers.sort(key=_is_unready)
    chosen = list(kept)
    zones = {state.members[witness].zone for witness in kept} | {row.zone}
    while peers and len(chosen) < WITNESS_COUNT:
        elsewhere = [peer for peer in peers if peer.zone not in zones]
        pick = (elsewhere or peers)[0]
        peers.remove(pick)
        zones.add(pick.zone)
        chosen.append(pick.member)
    if len(chosen) % 2 == 0:
        chosen.append(row.member)
    return tuple(chosen)
