"""Typed datagrams between members of the stand-alone deployment."""

from collections.abc import Callable
from typing import Any

from plantaingrade.codec import Codec
from plantaingrade.datagrams import TypedEndpoint
from plantaingrade.membership.entity import Datagram

DATAGRAM_CODEC = Codec(Datagram)


class DatagramEndpoint(TypedEndpoint):
    """Send and receive messages between members."""

    __slots__ = ()

    def __init__(self, receive: Callable[[Any], None]) -> None:
        """Pass each received message to ``receive``."""
        super().__init__(receive, DATAGRAM_CODEC)
