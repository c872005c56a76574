"""Decide what a witness agrees to about the leases of others. Pure.

A lease has two ends. Until the base end a member holds it by itself. Until the
full end it holds it only if a majority of its witnesses has promised not to
help anybody take over its keys; a takeover before the full end needs a majority
that agrees to the expiry. Two majorities of the same witnesses have one in
common, and a witness agrees to one of the two only.

So keys of a lost instance wait for the base end only, and a store outage during
which the witnesses can be reached is outlasted until the full end.
"""

from collections.abc import Collection

from msgspec import Struct, field

from plantaingrade.holds.entity import ExpiryRequest, PromiseRequest, Witness

# Records are kept for this long. No promise is of use for longer than a lease,
# which several clocks measure; this is several times as long.
RETENTION_S = 120.0
# Maximum number of records; far above the expected size of 530 members.
MAX_RECORDS = 5_000


def is_majority(
    agreed: Collection[Witness], asked: Collection[Witness]
) -> bool:
    """Return whether more than half of the witnesses asked have agreed."""
    return bool(asked) and 2 * len(set(agreed) & set(asked)) > len(set(asked))


class WitnessRecord(Struct):
    """What was agreed about one run of a member, up to which write numbers."""

    promised_to: int = 0
    expired_to: int = 0
    seen_at: float = 0.0


class WitnessState(Struct):
    """What one run of a process has promised, and which expiries it agreed to.

    It is lost with the process: the next run has another ``boot`` and answers
    no requests that were addressed to this one.
    """

    boot: str
    _record_by_run: dict[tuple[str, str], WitnessRecord] = field(
        default_factory=dict
    )

    def on_promise_request(self, request: PromiseRequest, now: float) -> bool:
        """Promise to protect a member's writes, unless one has expired.

        A write before ``first`` may have expired: it is no longer in the store.
        """
        record = self._find(
            request.name, request.boot, request.witness_boot, now
        )
        if record is None or record.expired_to >= request.first:
            return False
        record.promised_to = max(record.promised_to, request.last)
        return True

    def on_expiry_request(self, request: ExpiryRequest, now: float) -> bool:
        """Agree to the expiry of a member's write unless it was promised."""
        record = self._find(
            request.name, request.boot, request.witness_boot, now
        )
        if record is None or record.promised_to >= request.number:
            return False
        record.expired_to = max(record.expired_to, request.number)
        return True

    def _find(
        self, name: str, boot: str, witness_boot: str, now: float
    ) -> WitnessRecord | None:
        if witness_boot != self.boot:
            return None
        record = self._record_by_run.get((name, boot))
        if record is None:
            self._forget_old(now)
            if len(self._record_by_run) >= MAX_RECORDS:
                return None
            record = self._record_by_run.setdefault(
                (name, boot), WitnessRecord()
            )
        record.seen_at = now
        return record

    def _forget_old(self, now: float) -> None:
        self._record_by_run = {
            run: record
            for run, record in self._record_by_run.items()
            if now - record.seen_at <= RETENTION_S
        }
