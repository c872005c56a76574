"""What a witness promises about the leases of others. Pure.

A lease has two ends. Until the first a member holds it by itself. Until the
second it holds it only if a majority of its witnesses has promised not to help
anybody who would take its keys over; and who would take them over before the
second end needs a majority that gives the member up. Of two majorities of the
same witnesses one member is in both, and it does one of the two only.

Keys of a lost instance wait for the first end only, and an outage in which the
witnesses can be asked is outlasted until the second.
"""

from collections.abc import Collection

from msgspec import Struct, field

from plantaingrade.holds.entity import ExpiryRequest, PromiseRequest, Witness

# No promise is of use for longer than a lease, which is counted by several
# clocks; what was said is kept for much longer than that.
KEPT_S = 120.0
# Members remembered at a time: far above the two-year size of 530.
MAX_KEPT = 5_000


def is_majority(
    agreed: Collection[Witness], asked: Collection[Witness]
) -> bool:
    """Tell whether more than half of the witnesses asked have agreed."""
    return bool(asked) and 2 * len(set(agreed) & set(asked)) > len(set(asked))


class Said(Struct):
    """What was said of one run of a member, in numbers of its writes."""

    promised_to: int = 0
    given_up_to: int = 0
    seen_at: float = 0.0


class WitnessState(Struct):
    """What one run of a process has promised, and whom it has given up.

    It is lost with the process: the next run has another ``boot`` and neither
    promises nor gives up what was asked of this one.
    """

    boot: str
    _said_by_run: dict[tuple[str, str], Said] = field(default_factory=dict)

    def on_promise_request(self, asked: PromiseRequest, now: float) -> bool:
        """Promise to keep a member's writes, unless one was given up.

        A write before ``first`` may have been given up: it no longer stands.
        """
        said = self._find(asked.name, asked.boot, asked.witness_boot, now)
        if said is None or said.given_up_to >= asked.first:
            return False
        said.promised_to = max(said.promised_to, asked.last)
        return True

    def on_expiry_request(self, asked: ExpiryRequest, now: float) -> bool:
        """Give a member up whose row holds a write, unless it was promised."""
        said = self._find(asked.name, asked.boot, asked.witness_boot, now)
        if said is None or said.promised_to >= asked.number:
            return False
        said.given_up_to = max(said.given_up_to, asked.number)
        return True

    def _find(
        self, name: str, boot: str, witness_boot: str, now: float
    ) -> Said | None:
        if witness_boot != self.boot:
            return None
        said = self._said_by_run.get((name, boot))
        if said is None:
            self._forget_old(now)
            if len(self._said_by_run) >= MAX_KEPT:
                return None
            said = self._said_by_run.setdefault((name, boot), Said())
        said.seen_at = now
        return said

    def _forget_old(self, now: float) -> None:
        self._said_by_run = {
            run: said
            for run, said in self._said_by_run.items()
            if now - said.seen_at <= KEPT_S
        }
