"""What was granted to the backend server, and how long it may last."""

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.holds.const import ARRIVAL_SLACK_S, CLOCK_RATE_MARGIN
from plantaingrade.holds.entity import Grant
from plantaingrade.keyspace.entity import KeyRange


class GrantRecord(Struct):
    """Grants of one range under one fence, in readings of the boot clock.

    ``held_until`` is when the hold ends at the earliest, by confirmed grants.
    ``ends_by`` is when every hold has ended at the latest. ``unsure_until``
    is the same for grants without answer alone: the server may still carry
    those out after it has released the range.
    """

    keys: KeyRange
    fence: int
    held_until: float = 0.0
    ends_by: float = 0.0
    unsure_until: float = 0.0


class GrantLedger:
    """Grants to the server, by range.

    Those to a life that is over stay until their holds would have ended. A
    fence goes to one life only, so they make nothing look held; and whoever
    gives keys away waits for them, rather than for word of a life's end.
    """

    __slots__ = ('_record_by_keys',)

    def __init__(self) -> None:
        """Know no grants."""
        self._record_by_keys: dict[KeyRange, GrantRecord] = {}

    def on_sent(self, grant: Grant, now: float) -> None:
        """Note a grant before it is sent."""
        record = self._record_of(grant)
        record.ends_by = max(record.ends_by, latest_end(grant, now))

    def on_confirmed(self, grant: Grant, sent_at: float) -> None:
        """Note that a grant was carried out.

        The hold runs from the order's arrival, which is after it was sent.
        """
        record = self._record_of(grant)
        record.held_until = max(record.held_until, sent_at + grant.hold_s)

    def on_unanswered(self, grant: Grant, sent_at: float) -> None:
        """Note that a grant may still be carried out."""
        record = self._record_of(grant)
        ends = latest_end(grant, sent_at)
        record.unsure_until = max(record.unsure_until, ends)

    def held_until(self, key: int, fence: int) -> float:
        """Return when the hold on a key ends at the earliest."""
        for record in self._record_by_keys.values():
            if key in record.keys and record.fence == fence:
                return record.held_until
        return 0.0

    def is_confirmed(self, keys: KeyRange, fence: int) -> bool:
        """Tell whether the server took exactly this grant once."""
        record = self._record_by_keys.get(keys)
        if record is None or record.fence != fence:
            return False
        return record.held_until > 0

    def ends_by(self, keys: KeyRange) -> float:
        """Return when every hold on some of these keys ends at the latest."""
        return max(
            (record.ends_by for record in self._touching(keys)), default=0.0
        )

    def unsure_until(self, keys: KeyRange) -> float:
        """Return when unanswered grants on these keys end at the latest."""
        return max(
            (record.unsure_until for record in self._touching(keys)),
            default=0.0,
        )

    def on_released(self, keys: KeyRange) -> None:
        """Note that the server was told to let go of a range.

        Nothing counts as held any more; what earlier grants may still do is
        kept until the keys have passed on.
        """
        for record in self._touching(keys):
            taken = record.keys.overlap(keys)
            self._cut(record, keys)
            if taken is not None:
                rest = replace(record, keys=taken, held_until=0.0)
                self._record_by_keys[taken] = rest

    def forget(self, keys: KeyRange) -> None:
        """Drop all that is known of a range, and keep the rest around it."""
        for record in self._touching(keys):
            self._cut(record, keys)

    def _cut(self, record: GrantRecord, keys: KeyRange) -> None:
        self._record_by_keys.pop(record.keys)
        for rest in record.keys.without(keys):
            self._record_by_keys[rest] = replace(record, keys=rest)

    def _touching(self, keys: KeyRange) -> list[GrantRecord]:
        return [
            record
            for record in self._record_by_keys.values()
            if record.keys.overlap(keys)
        ]

    def _record_of(self, grant: Grant) -> GrantRecord:
        """Return the record of a range, in place of those it replaces.

        A range may have been cut or joined since, and a later fence outranks
        an earlier one on the same keys; what earlier grants may still do
        passes on to the new record.
        """
        record = self._record_by_keys.get(grant.keys)
        if record is not None and record.fence == grant.fence:
            return record
        record = GrantRecord(
            grant.keys,
            grant.fence,
            self._held_under(grant),
            self.ends_by(grant.keys),
            self.unsure_until(grant.keys),
        )
        self.forget(grant.keys)
        self._record_by_keys[grant.keys] = record
        return record

    def _held_under(self, grant: Grant) -> float:
        """Return when holds of all these keys under this fence end."""
        held = 0
        ends = []
        for known in self._touching(grant.keys):
            overlap = known.keys.overlap(grant.keys)
            if overlap is not None and known.fence == grant.fence:
                held += len(overlap)
                ends.append(known.held_until)
        return min(ends) if ends and held == len(grant.keys) else 0.0


def latest_end(grant: Grant, sent_at: float) -> float:
    """Return when a grant's hold has ended at the latest.

    It runs from the order's arrival, by a clock that may be slow.
    """
    lasts_s = grant.hold_s * CLOCK_RATE_MARGIN
    return sent_at + ARRIVAL_SLACK_S + lasts_s
