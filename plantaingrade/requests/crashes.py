"""Tell which requests were at the own server when it crashed. Pure.

A connection that breaks is no crash: an answer can be lost, or spoilt, with
the server well. A crash breaks all that runs at once, and nothing listens
afterwards until another life of the server begins.
"""

from plantaingrade.requests.suspects import Suspects

# What breaks within this time broke together, in seconds: the resets of one
# crash arrive within milliseconds, and the process reads them in turn.
TOGETHER_S = 0.2
# A server that nothing was sent to after its crash is known to be down by its
# next life: platforms start one within seconds.
UNTIL_DOWN_S = 10.0


class CrashWatch:
    """Follow what runs at the own server, and what broke last."""

    __slots__ = ('_broken', '_broken_at', '_running', 'suspects')

    def __init__(self, suspects: Suspects) -> None:
        """Know of nothing that runs; requests answered are not suspected."""
        self.suspects = suspects
        self._running: list[str] = []
        self._broken: list[str] = []
        self._broken_at = 0.0

    def on_sent(self, digest: str) -> None:
        """Note a request that the server has been sent."""
        self._running.append(digest)

    def on_answered(self, digest: str, now: float) -> None:
        """Note an answer: the server is up, whatever broke before."""
        self._running.remove(digest)
        self._broken.clear()
        self.suspects.note_answered(digest, now)

    def on_ended(self, digest: str) -> None:
        """Note a request that tells nothing of the server."""
        self._running.remove(digest)

    def on_broken(self, digest: str, now: float) -> None:
        """Note a request whose connection broke off."""
        self._running.remove(digest)
        if now - self._broken_at > TOGETHER_S:
            self._broken.clear()
        self._broken.append(digest)
        self._broken_at = now

    def on_down(self, now: float) -> tuple[str, ...]:
        """Return what a crash took along, now that nothing listens.

        What still runs shows that the server is there, and too busy.
        """
        is_recent = now - self._broken_at <= UNTIL_DOWN_S
        digests = () if self._running or not is_recent else tuple(self._broken)
        self._broken.clear()
        return digests
