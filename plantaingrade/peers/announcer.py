"""Tell the other members what concerns all of them, by datagram."""

import random
from collections.abc import Callable, Collection, Iterable

from plantaingrade.codec import Codec
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Datagram,
    Hello,
    Introduced,
    Member,
    Passed,
    Word,
)
from plantaingrade.peers.telling import (
    Recipients,
    choose_greeted,
    choose_recipients,
)

CODEC = Codec(Datagram)


class Announcer:
    """Send words to members, over relays in other availability zones."""

    __slots__ = ('_chance', '_directory', '_own', '_welcomed', 'endpoint')

    def __init__(
        self,
        own: Member,
        directory: Directory,
        receive: Callable[[Datagram], None],
    ) -> None:
        """Speak for one member; ``receive`` takes what arrives."""
        self.endpoint = TypedEndpoint(receive, CODEC)
        self._own = own
        self._directory = directory
        self._welcomed: set[str] = set()
        self._chance = random.Random(own.boot)

    def tell_all(self, word: Word, skipped: Collection[str] = ()) -> None:
        """Tell every member; ``skipped`` names those told otherwise."""
        recipients = choose_recipients(
            self._own, self._directory.members(), skipped, self._chance
        )
        self._send_to(recipients, word, Passed(word, tuple(sorted(skipped))))

    def tell(self, message: Datagram, names: Iterable[str]) -> None:
        """Tell some members."""
        found = (self._directory.find(name) for name in names)
        addresses = [member.address for member in found if member is not None]
        self.endpoint.send_all(message, addresses)

    def fits(self, word: Word, skipped: Collection[str]) -> bool:
        """Tell whether a word can be told in one datagram."""
        return self.endpoint.fits(Passed(word, tuple(skipped)))

    def pass_on(self, passed: Passed) -> None:
        """Tell the neighbours what another zone's member has told this one."""
        neighbours = [
            member.address
            for member in self._directory.members()
            if member.zone == self._own.zone
            and member.name != self._own.name
            and member.name not in passed.skipped
        ]
        self.endpoint.send_all(passed.word, neighbours)

    def greet(self) -> None:
        """Greet those that have not welcomed this member yet."""
        recipients = choose_greeted(
            self._own,
            self._directory.members(),
            self._welcomed,
            self._chance,
        )
        introduction = Passed(Introduced(self._own), ())
        self._send_to(recipients, Hello(self._own), introduction)

    def introduce(self) -> None:
        """Tell every member of this one, once all have had time to join.

        A relay may pass a greeting on before it knows all its neighbours.
        """
        self.tell_all(Introduced(self._own))

    def on_welcome(self, name: str) -> None:
        """Note that a member knows this one."""
        self._welcomed.add(name)

    def on_met(self, name: str) -> None:
        """Note a run of a member that does not know this one yet."""
        self._welcomed.discard(name)

    def _send_to(
        self, recipients: Recipients, direct: Datagram, passed: Passed
    ) -> None:
        self.endpoint.send_all(
            direct, [member.address for member in recipients.direct]
        )
        self.endpoint.send_all(
            passed, [member.address for member in recipients.relays]
        )
