"""Detect requests that crash the servers that run them. Pure.

Failure that this answers to: a request crashes each server that starts to run
it, and its caller retries it at any instance. If all retries were served, the
request would crash the servers of a service one after the other, along with
all other requests running there. So every process records which requests ran
at a server when it crashed, and a request that probably causes the crashes is
quarantined: it is refused for a while.

Crashes have other causes too, and then affect requests that did not cause
them. A request is cleared if a server answers it; evidence against it is that
it was running at several servers when they crashed, along with few others.
"""

from collections import OrderedDict
from hashlib import blake2b

from msgspec import Struct

from plantaingrade.requests.entity import RoutedRequest

FINGERPRINT_BYTES = 8
LENGTH_BYTES = 8
# Crashes after which a request may be refused: a single one proves nothing.
MIN_CRASHES = 2
# Evidence at which a request is refused. Each of the n requests that ran at a
# crash gets 1/n evidence, but at least the minimum, so that three crashes are
# enough in any case: the platform tolerates no more for one request.
EVIDENCE_THRESHOLD = 0.99
MIN_EVIDENCE = 1 / 3
# A request that was answered within this time, in seconds, is not suspected: a
# request that crashes servers is never answered, while one that many callers
# send is answered all the time.
CLEARED_S = 30.0
# How long a request is refused, in seconds: long compared with the pauses
# between its caller's retries, and short enough to notice a fixed server.
QUARANTINE_S = 60.0
# Evidence expires this long after the last crash, in seconds.
EVIDENCE_TTL_S = 300.0
# Bounds on the entries kept, of about 100 bytes each.
MAX_SUSPECTS = 512
MAX_ANSWERED = 4096


class Suspect(Struct):
    """Evidence against one request."""

    evidence: float
    crashes: int
    last_at: float


def fingerprint(routed: RoutedRequest) -> str:
    """Return a digest that is the same for all attempts of a request.

    The caller's request id and the deadline headers differ between attempts,
    so they are not included.
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
    """Evidence by fingerprint, and recently answered requests."""

    __slots__ = ('_answered_at', '_suspect_by_digest')

    def __init__(self) -> None:
        """Start without any evidence."""
        self._suspect_by_digest: OrderedDict[str, Suspect] = OrderedDict()
        self._answered_at: OrderedDict[str, float] = OrderedDict()

    @property
    def is_empty(self) -> bool:
        """Return whether no request is suspected, which is the usual case."""
        return not self._suspect_by_digest

    def add_crash(self, digests: tuple[str, ...], now: float) -> None:
        """Record the requests that were running at a server when it crashed."""
        evidence = max(MIN_EVIDENCE, 1 / max(1, len(digests)))
        for each in set(digests):
            if not self._is_cleared(each, now):
                self._add_evidence(each, evidence, now)

    def add_answer(self, digest: str, now: float) -> None:
        """Record that a server has answered a request, which clears it."""
        self._suspect_by_digest.pop(digest, None)
        self._answered_at[digest] = now
        self._answered_at.move_to_end(digest)
        if len(self._answered_at) > MAX_ANSWERED:
            self._answered_at.popitem(last=False)

    def quarantine_left_s(self, digest: str, now: float) -> float:
        """Return how long a request is still refused in seconds, or 0."""
        suspect = self._suspect_by_digest.get(digest)
        if suspect is None:
            return 0.0
        if suspect.crashes < MIN_CRASHES:
            return 0.0
        if suspect.evidence < EVIDENCE_THRESHOLD:
            return 0.0
        return max(0.0, suspect.last_at + QUARANTINE_S - now)

    def _is_cleared(self, digest: str, now: float) -> bool:
        answered_at = self._answered_at.get(digest)
        return answered_at is not None and now - answered_at < CLEARED_S

    def _add_evidence(self, digest: str, evidence: float, now: float) -> None:
        suspect = self._suspect_by_digest.pop(digest, None)
        if suspect is None or now - suspect.last_at > EVIDENCE_TTL_S:
            suspect = Suspect(0.0, 0, now)
        suspect.evidence += evidence
        suspect.crashes += 1
        suspect.last_at = now
        self._suspect_by_digest[digest] = suspect
        if len(self._suspect_by_digest) > MAX_SUSPECTS:
            self._suspect_by_digest.popitem(last=False)
