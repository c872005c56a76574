"""Recognise requests that crash the servers that run them. Pure.

Load that answers: one request ends each server that begins to run it, and its
caller sends it again and again, to any instance. Served as it comes, it takes
a service's servers away one after the other, with all that runs there. So
what ran at a server when it crashed is remembered, by every process, and a
request that crashes after crashes are due to is refused for a while.

A crash has other causes too, and then takes innocent requests along. What
speaks for a request's innocence is that a server answered it; what speaks
against it is that it ran at one server after the other when they crashed,
with little else beside it.
"""

from collections import OrderedDict
from hashlib import blake2b

from msgspec import Struct

from plantaingrade.requests.entity import RoutedRequest

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8
# Crashes after which a request may be refused: one that took a single server
# away proves nothing.
MIN_CRASHES = 2
# Evidence from which a request is refused. A crash speaks against each of the
# requests that ran there with one part in their number, and with the least
# evidence where they are many. Three crashes are enough in any case: that is
# where the platform's patience with such a request ends.
ENOUGH_EVIDENCE = 0.99
LEAST_EVIDENCE = 1 / 3
# What was answered within this time, in seconds, is not suspected: a request
# that crashes servers is never answered, and one that many callers send is
# answered all the time.
INNOCENT_S = 30.0
# How long a request is refused, in seconds: long beside the pauses between the
# tries of its caller, and short enough to tell a mended server by.
QUARANTINE_S = 60.0
# Evidence that nothing was added to is dropped after this, in seconds.
FORGET_S = 300.0
# Bounds on what is kept: some 100 bytes for each.
MAX_SUSPECTS = 512
MAX_ANSWERED = 4096


class Suspect(Struct):
    """What speaks against one request."""

    evidence: float
    crashes: int
    last_at: float


def fingerprint(routed: RoutedRequest) -> str:
    """Return what a request is known by when it comes again.

    The caller's own name for the attempt is another each time, and so are
    the headers that tell its deadline.
    """
    caller = routed.caller
    hashed = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        routed.service.encode(),
        routed.caller_service.encode(),
        caller.method,
        caller.target,
        caller.body,
    ):
        hashed.update(len(part).to_bytes(LENGTH_BYTES, 'big'))
        hashed.update(part)
    return hashed.hexdigest()


class Suspects:
    """Evidence by fingerprint, and what was answered lately."""

    __slots__ = ('_answered_at', '_suspect_by_digest')

    def __init__(self) -> None:
        """Suspect nothing."""
        self._suspect_by_digest: OrderedDict[str, Suspect] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is suspected, as on nearly all days."""
        return not self._suspect_by_digest

    def note_crash(self, digests: tuple[str, ...], now: float) -> None:
        """Take what ran at a server when it crashed."""
        evidence = max(LEAST_EVIDENCE, 1 / max(1, len(digests)))
        for each in set(digests):
            if not self._is_innocent(each, now):
                self._accuse(each, evidence, now)

    def note_answered(self, digest: str, now: float) -> None:
        """Take that a server has run a request to its end."""
        self._suspect_by_digest.pop(digest, None)
        self._answered_at[digest] = now
        self._answered_at.move_to_end(digest)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def left_s(self, digest: str, now: float) -> float:
        """Return for how long a request is still refused, 0 if it is not."""
        suspect = self._suspect_by_digest.get(digest)
        if suspect is None:
            return 0.0
        if suspect.crashes < MIN_CRASHES:
            return 0.0
        if suspect.evidence < ENOUGH_EVIDENCE:
            return 0.0
        return max(0.0, suspect.last_at + QUARANTINE_S - now)

    def _is_innocent(self, digest: str, now: float) -> bool:
        answered_at = self._answered_at.get(digest)
        return answered_at is not None and now - answered_at < INNOCENT_S

    def _accuse(self, digest: str, evidence: float, now: float) -> None:
        suspect = self._suspect_by_digest.pop(digest, None)
        if suspect is None or now - suspect.last_at > FORGET_S:
            suspect = Suspect(0.0, 0, now)
        suspect.evidence += evidence
        suspect.crashes += 1
        suspect.last_at = now
        self._suspect_by_digest[digest] = suspect
        if len(self._suspect_by_digest) > MAX_SUSPECTS:
            self._suspect_by_digest.popitem(last=False)
