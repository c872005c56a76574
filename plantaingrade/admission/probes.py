"""Requests that are let through to learn how long their work takes. Pure.

A class of work that is refused by its expected duration has no samples that
correct it: servers that answered nothing for a while would never be used again.
"""

from plantaingrade.admission.long_term import LongTermWork

# Time without a sample after which a request is let through, in seconds.
PROBE_PAUSE_S = 0.5


class Probes:
    """Chooses a request of each class now and then."""

    __slots__ = ('_probed_at_by_kind',)

    def __init__(self) -> None:
        """Start without any."""
        self._probed_at_by_kind: dict[str, float] = {}

    def take(self, kind: str, work: LongTermWork, now: float) -> bool:
        """Return whether to let a request through, and note it."""
        probed_at = self._probed_at_by_kind.get(kind, 0.0)
        unknown_s = min(work.age_s(kind, now), now - probed_at)
        if unknown_s < PROBE_PAUSE_S:
            return False
        self._probed_at_by_kind[kind] = now
        return True
