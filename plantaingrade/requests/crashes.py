"""Detect crashes of the own server and what it was running then. Pure.

A broken connection alone is no crash: a response can be lost or corrupted
while the server is healthy. A crash breaks all running requests at once, and
nothing listens afterwards until the next incarnation of the server starts.
"""

from plantaingrade.requests.suspects import Suspects

# Connections that break within this time belong to the same crash, in seconds:
# its resets arrive within milliseconds, and the process reads them in turn.
SAME_CRASH_S = 0.2
# Longest time from the resets to the detection, in seconds. If nothing is sent
# to the server after its crash, only its next incarnation shows that it was
# down, and platforms start one within seconds.
MAX_DETECTION_DELAY_S = 10.0


class CrashDetector:
    """Tracks the own server's running requests and the last broken ones."""

    __slots__ = ('_broken', '_broken_at', '_running', 'suspects')

    def __init__(self, suspects: Suspects) -> None:
        """Start with no running requests.

        Answered requests are reported to ``suspects`` as cleared.
        """
        self.suspects = suspects
        self._running: list[str] = []
        self._broken: list[str] = []
        self._broken_at = 0.0

    def on_sent(self, digest: str) -> None:
        """Record a request that was sent to the server."""
        self._running.append(digest)

    def on_answered(self, digest: str, now: float) -> None:
        """Record a response, which shows that earlier breaks were no crash."""
        self._running.remove(digest)
        self._broken.clear()
        self.suspects.add_answer(digest, now)

    def on_inconclusive(self, digest: str) -> None:
        """Record a request whose end says nothing about the server."""
        self._running.remove(digest)

    def on_broken(self, digest: str, now: float) -> None:
        """Record a request whose connection broke."""
        self._running.remove(digest)
        if now - self._broken_at > SAME_CRASH_S:
            self._broken.clear()
        self._broken.append(digest)
        self._broken_at = now

    def on_down(self, now: float) -> tuple[str, ...]:
        """Return the requests that broke in a crash, once nothing listens.

        If requests are still running, the server is up and only too busy to
        accept connections.
        """
        is_recent = now - self._broken_at <= MAX_DETECTION_DELAY_S
        digests = () if self._running or not is_recent else tuple(self._broken)
        self._broken.clear()
        return digests
