"""Send notifications to all other members, by datagram."""

import random
from collections.abc import Callable, Collection, Iterable

from plantaingrade.codec import Codec
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Datagram,
    Forwarded,
    Hello,
    Introduced,
    Member,
    Notification,
)
from plantaingrade.peers.recipients import (
    Recipients,
    choose_hello_recipients,
    choose_recipients,
)

CODEC = Codec(Datagram)


class Announcer:
    """Send datagrams to members, through relays in other large zones."""

    __slots__ = ('_directory', '_own', '_random', '_welcomed', 'endpoint')

    def __init__(
        self,
        own: Member,
        directory: Directory,
        receive: Callable[[Datagram], None],
    ) -> None:
        """Send on behalf of ``own``; pass what arrives to ``receive``."""
        self.endpoint = TypedEndpoint(receive, CODEC)
        self._own = own
        self._directory = directory
        self._welcomed: set[str] = set()
        self._random = random.Random(own.boot)

    def broadcast(
        self, notification: Notification, skipped: Collection[str] = ()
    ) -> None:
        """Notify every member except those named in ``skipped``."""
        recipients = choose_recipients(
            self._own, self._directory.members(), skipped, self._random
        )
        self._send_to(
            recipients,
            notification,
            Forwarded(notification, tuple(sorted(skipped))),
        )

    def send(self, message: Datagram, names: Iterable[str]) -> None:
        """Send a message to the named members that are known."""
        found = (self._directory.find(name) for name in names)
        addresses = [member.address for member in found if member is not None]
        self.endpoint.send_all(message, addresses)

    def fits(
        self, notification: Notification, skipped: Collection[str]
    ) -> bool:
        """Return whether a notification fits into one datagram."""
        return self.endpoint.fits(Forwarded(notification, tuple(skipped)))

    def forward(self, forwarded: Forwarded) -> None:
        """Send a notification on to the other members of the own zone."""
        neighbours = [
            member.address
            for member in self._directory.members()
            if member.zone == self._own.zone
            and member.name != self._own.name
            and member.name not in forwarded.skipped
        ]
        self.endpoint.send_all(forwarded.notification, neighbours)

    def send_hello(self) -> None:
        """Send a hello to members that have not sent a welcome yet."""
        recipients = choose_hello_recipients(
            self._own,
            self._directory.members(),
            self._welcomed,
            self._random,
        )
        introduction = Forwarded(Introduced(self._own), ())
        self._send_to(recipients, Hello(self._own), introduction)

    def introduce(self) -> None:
        """Introduce this member to all, once they have had time to join.

        A relay may forward a hello before it knows all its neighbours, so
        some members may have missed it.
        """
        self.broadcast(Introduced(self._own))

    def on_welcome(self, name: str) -> None:
        """Record that a member knows this one."""
        self._welcomed.add(name)

    def on_discovered(self, name: str) -> None:
        """Record that a new or restarted member does not know this one."""
        self._welcomed.discard(name)

    def _send_to(
        self, recipients: Recipients, direct: Datagram, forwarded: Forwarded
    ) -> None:
        self.endpoint.send_all(
            direct, [member.address for member in recipients.direct]
        )
        self.endpoint.send_all(
            forwarded, [member.address for member in recipients.relays]
        )
