"""Until when a member may grant keys, by the store and its witnesses. Pure."""

from msgspec import Struct

from plantaingrade.holds.entity import PromiseRequest, Witness
from plantaingrade.holds.lease import MemberRow
from plantaingrade.store.clock import StoreClock


class Ends(Struct, frozen=True):
    """The two ends of a lease by the local clock; see ``holds.promises``."""

    base: float
    full: float


class SentRow(Struct, frozen=True):
    """A row that was sent and may come to stand in the store."""

    row: MemberRow
    ends: Ends


class LeaseTerm:
    """The own lease, as far as it is proven.

    Whatever may stand in the store bounds the lease, but for what was promised:
    a write without an answer may stand there with an earlier end.
    """

    __slots__ = ('_clock', '_open_by_number', '_promised_to', '_standing')

    def __init__(self, clock: StoreClock) -> None:
        """Hold no lease."""
        self._clock = clock
        self._standing: SentRow | None = None
        self._open_by_number: dict[int, SentRow] = {}
        self._promised_to = 0

    @property
    def until(self) -> float:
        """Return the local time until which keys may be granted."""
        if self._standing is None:
            return 0.0
        sent = (self._standing, *self._open_by_number.values())
        return min(self._end_of(each) for each in sent)

    @property
    def may_grow(self) -> bool:
        """Tell whether a promise would lengthen the lease."""
        if self._standing is None or not self.witness_sets():
            return False
        return not self._is_promised(self._last_number())

    @property
    def has_open(self) -> bool:
        """Tell whether a write may stand that is not known to."""
        return bool(self._open_by_number)

    def on_sent(self, row: MemberRow) -> None:
        """Note a write that is about to be sent."""
        self._open_by_number[row.write_number] = self._sent(row)

    def on_refused(self, row: MemberRow) -> None:
        """Note that a write was not applied and never will be."""
        self._open_by_number.pop(row.write_number, None)

    def on_none_open(self) -> None:
        """Note that no write without an answer can be applied any more."""
        self._open_by_number.clear()

    def on_standing(self, row: MemberRow) -> None:
        """Note the write that stands; no earlier one can be applied now."""
        self.on_none_open()
        self._standing = self._sent(row)

    def on_lost(self) -> None:
        """Note that the lease is lost."""
        self.on_none_open()
        self._standing = None

    def witness_sets(self) -> list[tuple[Witness, ...]]:
        """Return the witnesses of each write that may stand.

        Each set must agree by itself; nothing is promised without one.
        """
        if self._standing is None:
            return []
        sent = (self._standing, *self._open_by_number.values())
        sets = {each.row.witnesses for each in sent}
        return [] if () in sets else sorted(sets)

    def question(self, witness: Witness) -> PromiseRequest:
        """Return what is to be asked of a witness now."""
        row = self._standing.row
        return PromiseRequest(
            row.member.name,
            row.member.boot,
            row.write_number,
            self._last_number(),
            witness.boot,
        )

    def on_promised(self, last: int) -> None:
        """Note that all sets of witnesses have promised writes up to one."""
        self._promised_to = max(self._promised_to, last)

    def _last_number(self) -> int:
        standing = self._standing.row.write_number
        return max([standing, *self._open_by_number])

    def _end_of(self, sent: SentRow) -> float:
        is_promised = self._is_promised(sent.row.write_number)
        return sent.ends.full if is_promised else sent.ends.base

    def _is_promised(self, number: int) -> bool:
        return number <= self._promised_to

    def _sent(self, row: MemberRow) -> SentRow:
        ends = Ends(
            self._clock.earliest_local(row.base_until_s),
            self._clock.earliest_local(row.until_s),
        )
        return SentRow(row, ends)
