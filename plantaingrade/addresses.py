"""Addresses of processes, as texts that another program may have written."""

import ipaddress
from functools import lru_cache

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError

MAX_PORT = 65_535
# Longer texts are no number that a port can have.
MAX_PORT_DIGITS = 5
# Limits of a host name and of each part of it (RFC 1035, section 2.3.4).
MAX_HOST_CHARS = 253
MAX_LABEL_CHARS = 63
# Each datagram is sent to an address; there are as many as members.
MAX_KNOWN_ADDRESSES = 4096


class InvalidAddressError(PlantaingradeError):
    """Raised for a text that is not a host and a port."""

    advice = 'Correct the entry that has this address.'


class Address(Struct, frozen=True):
    """A valid address; ``is_ip`` is set if its host is no name."""

    host: str
    port: int
    is_ip: bool


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address ``host:port``.

    Raises:
        InvalidAddressError: it is not one.
    """
    parsed = _parse(address)
    if parsed is None:
        shown = ascii(address[:MAX_HOST_CHARS])
        raise InvalidAddressError(f'{shown} is not a host and a port.')
    return parsed.host, parsed.port


def is_ip_address(text: str) -> bool:
    """Return whether a text is an IP address with a port other than 0."""
    parsed = _parse(text)
    return parsed is not None and parsed.is_ip and parsed.port > 0


@lru_cache(maxsize=MAX_KNOWN_ADDRESSES)
def _parse(address: str) -> Address | None:
    host, _, port = address.rpartition(':')
    is_ip = _is_ip(host)
    if not _is_port(port) or not (is_ip or _is_host_name(host)):
        return None
    return Address(host, int(port), is_ip)


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


def _is_host_name(host: str) -> bool:
    if len(host) > MAX_HOST_CHARS:
        return False
    return all(_is_label(label) for label in host.split('.'))


def _is_label(label: str) -> bool:
    plain = label.replace('-', '').replace('_', '')
    is_plain = plain.isascii() and plain.isalnum()
    return is_plain and len(label) <= MAX_LABEL_CHARS
