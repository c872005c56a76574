"""Whether faults were felt by what they were meant for."""

from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

# A kind of fault that lasted this long in a run must have been felt.
MIN_LENGTH_S = 6.0
Ask = Callable[[], Awaitable[dict[str, Any]]]
FindTarget = Callable[[], int | None]


class FeltFaults:
    """Counts for how long each kind of fault lasted, and what it hit."""

    def __init__(self) -> None:
        """Start without faults."""
        self.seconds_by_kind: Counter[str] = Counter()
        self.hits_by_kind: Counter[str] = Counter()

    @asynccontextmanager
    async def watch(
        self, kind: str, for_s: float, ask: Ask, find_target: FindTarget
    ):
        """Count what a fault hits while the context runs.

        ``ask`` returns the count of the stand-in that plays the fault. A fault
        need not be felt by a target that another one stopped or replaced
        meanwhile; ``find_target`` returns it, None while it is stopped.
        """
        target = find_target()
        before = (await ask()).get('felt', 0)
        yield
        after = (await ask()).get('felt', 0)
        if target is not None and target == find_target():
            self.seconds_by_kind[kind] += for_s
        # A server that was restarted counts from zero again.
        self.hits_by_kind[kind] += after if after < before else after - before

    def unfelt(self) -> list[str]:
        """Return the kinds of faults that lasted and hit nothing."""
        return [
            kind
            for kind, seconds in self.seconds_by_kind.items()
            if seconds >= MIN_LENGTH_S and not self.hits_by_kind[kind]
        ]
