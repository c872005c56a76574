"""Grants that were sent to the backend server, and how long they may last."""

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.holds.const import ARRIVAL_SLACK_S, CLOCK_RATE_MARGIN
from plantaingrade.holds.entity import Grant
from plantaingrade.keyspace.entity import KeyRange


class GrantRecord(Struct):
    """Grants of one range under one fence; times are local clock readings.

    ``held_until`` is the earliest end of the hold, from confirmed grants.
    ``ends_by`` is the latest time at which every hold has ended.
    ``unconfirmed_until`` is the same for unanswered grants alone: the server
    may still execute those after it has released the range.
    """

    keys: KeyRange
    fence: int
    held_until: float = 0.0
    ends_by: float = 0.0
    unconfirmed_until: float = 0.0


class GrantLedger:
    """Grants to the server, by range.

    Grants to an incarnation that has ended stay until their holds would have
    ended. Since a fence is sent to one incarnation only, they don't make a
    range look held. A transfer waits for the end of those holds instead of
    relying on a report that the incarnation has ended.
    """

    __slots__ = ('_record_by_keys',)

    def __init__(self) -> None:
        """Start without grants."""
        self._record_by_keys: dict[KeyRange, GrantRecord] = {}

    def on_sent(self, grant: Grant, now: float) -> None:
        """Record a grant that is about to be sent."""
        record = self._get_or_create(grant)
        record.ends_by = max(record.ends_by, latest_end(grant, now))

    def on_confirmed(self, grant: Grant, sent_at: float) -> None:
        """Record that a grant was executed.

        The hold runs from the order's arrival, which is after it was sent.
        """
        record = self._get_or_create(grant)
        record.held_until = max(record.held_until, sent_at + grant.hold_s)

    def on_unanswered(self, grant: Grant, sent_at: float) -> None:
        """Record that a grant may still be executed."""
        record = self._get_or_create(grant)
        ends = latest_end(grant, sent_at)
        record.unconfirmed_until = max(record.unconfirmed_until, ends)

    def held_until(self, key: int, fence: int) -> float:
        """Return the earliest time at which the hold on a key ends."""
        for record in self._record_by_keys.values():
            if key in record.keys and record.fence == fence:
                return record.held_until
        return 0.0

    def is_confirmed(self, keys: KeyRange, fence: int) -> bool:
        """Return whether the server accepted a grant of exactly this range."""
        record = self._record_by_keys.get(keys)
        if record is None or record.fence != fence:
            return False
        return record.held_until > 0

    def ends_by(self, keys: KeyRange) -> float:
        """Return the time by which all holds on any of these keys ended."""
        return max(
            (record.ends_by for record in self._overlapping(keys)), default=0.0
        )

    def unconfirmed_until(self, keys: KeyRange) -> float:
        """Return the latest end of unanswered grants on these keys."""
        return max(
            (record.unconfirmed_until for record in self._overlapping(keys)),
            default=0.0,
        )

    def on_released(self, keys: KeyRange) -> None:
        """Record that the server was ordered to release a range.

        The range no longer counts as held. The possible effects of earlier
        grants are kept until the keys have been transferred.
        """
        for record in self._overlapping(keys):
            released = record.keys.overlap(keys)
            self._remove(record, keys)
            if released is not None:
                rest = replace(record, keys=released, held_until=0.0)
                self._record_by_keys[released] = rest

    def forget(self, keys: KeyRange) -> None:
        """Remove all records of a range, but not of the keys around it."""
        for record in self._overlapping(keys):
            self._remove(record, keys)

    def _remove(self, record: GrantRecord, keys: KeyRange) -> None:
        self._record_by_keys.pop(record.keys)
        for rest in record.keys.without(keys):
            self._record_by_keys[rest] = replace(record, keys=rest)

    def _overlapping(self, keys: KeyRange) -> list[GrantRecord]:
        return [
            record
            for record in self._record_by_keys.values()
            if record.keys.overlap(keys)
        ]

    def _get_or_create(self, grant: Grant) -> GrantRecord:
        """Return the record of a range, in place of those it replaces.

        A range may have been split or merged since, and a later fence
        supersedes an earlier one on the same keys. The possible effects of
        earlier grants are carried into the new record.
        """
        record = self._record_by_keys.get(grant.keys)
        if record is not None and record.fence == grant.fence:
            return record
        record = GrantRecord(
            grant.keys,
            grant.fence,
            self._held_under(grant),
            self.ends_by(grant.keys),
            self.unconfirmed_until(grant.keys),
        )
        self.forget(grant.keys)
        self._record_by_keys[grant.keys] = record
        return record

    def _held_under(self, grant: Grant) -> float:
        """Return when holds of all these keys under this fence end."""
        held = 0
        ends = []
        for known in self._overlapping(grant.keys):
            overlap = known.keys.overlap(grant.keys)
            if overlap is not None and known.fence == grant.fence:
                held += len(overlap)
                ends.append(known.held_until)
        return min(ends) if ends and held == len(grant.keys) else 0.0


def latest_end(grant: Grant, sent_at: float) -> float:
    """Return the latest time at which a grant's hold has ended.

    The hold runs from the order's arrival, by a server clock that may be slow.
    """
    lasts_s = grant.hold_s * CLOCK_RATE_MARGIN
    return sent_at + ARRIVAL_SLACK_S + lasts_s
