"""Choose and query lease witnesses, and answer as a witness."""

import random

from plantaingrade.clock import Clock
from plantaingrade.codec import Codec
from plantaingrade.holds.const import WITNESS_COUNT
from plantaingrade.holds.entity import (
    ExpiryRequest,
    PromiseRequest,
    Witness,
    WitnessRequest,
)
from plantaingrade.holds.promises import WitnessState
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

QUESTION_CODEC = Codec(WitnessRequest)
PATH_WITNESS = '/-/witness'
AGREED = b'yes'
REFUSED = b'no'


class PeerWitnesses:
    """Other processes as witnesses for this one, and vice versa.

    A process of any service can be a witness. Members of other zones are
    preferred, as a fault that stops an instance may stop its zone as well.
    """

    __slots__ = ('_book', '_calls', '_clock', '_directory', '_own', '_random')

    def __init__(
        self, own: Member, directory: Directory, calls: PeerCalls, clock: Clock
    ) -> None:
        """Start without any promises."""
        self._own = own
        self._directory = directory
        self._calls = calls
        self._clock = clock
        self._book = WitnessState(own.boot)
        self._random = random.Random(own.boot)

    def choose(self) -> tuple[Witness, ...]:
        """Return a random choice of other members that are not suspect."""
        now = self._clock.now()
        members = [
            member
            for member in self._directory.members()
            if member.name != self._own.name
            and not self._directory.is_suspect(member.name, now)
        ]
        self._random.shuffle(members)
        members.sort(key=lambda member: member.zone == self._own.zone)
        return tuple(
            Witness(member.name, member.boot)
            for member in members[:WITNESS_COUNT]
        )

    async def async_ask(
        self, witness: Witness, question: WitnessRequest
    ) -> bool:
        """Query a witness; return whether it agreed, False without answer."""
        if witness.name == self._own.name:
            return self._decide(question)
        member = self._directory.find(witness.name)
        if member is None:
            return False
        body = QUESTION_CODEC.encode(question)
        return (
            await self._calls.async_post(member, PATH_WITNESS, body) == AGREED
        )

    def answer(self, body: bytes) -> bytes:
        """Return the answer to the question of another process.

        Raises:
            MalformedMessageError: the body is not a valid question.
        """
        is_agreed = self._decide(QUESTION_CODEC.decode(body))
        return AGREED if is_agreed else REFUSED

    def _decide(self, question: WitnessRequest) -> bool:
        now = self._clock.now()
        match question:
            case PromiseRequest():
                return self._book.on_promise_request(question, now)
            case ExpiryRequest():
                return self._book.on_expiry_request(question, now)
