"""Validated settings of one process."""

import re

from msgspec import Struct
from msgspec.structs import asdict, fields

from plantaingrade.addresses import is_ip_address
from plantaingrade.backends.dialects import DIALECT_BY_NAME
from plantaingrade.errors import PlantaingradeError

NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
ADDRESSES = ('http', 'udp', 'rpc', 'backend', 'table', 'objects')
OPTIONAL_ADDRESSES = ('advertise_http', 'advertise_udp', 'advertise_rpc')
NAMES = ('server', 'service', 'zone', 'table_name', 'bucket')
MAX_SLOTS = 10_000


class SettingsError(PlantaingradeError):
    """Report all invalid settings."""

    advice = 'Correct the flags or environment variables named.'

    def __init__(self, mistakes: list[str]) -> None:
        """Keep the mistakes and join them to one message."""
        self.mistakes = mistakes
        super().__init__('; '.join(mistakes))


class Settings(Struct, frozen=True):
    """Settings of a process.

    Addresses are ``ip:port``. The advertised addresses are those at which other
    processes reach this one, if they differ from those on which it listens.
    """

    server: str
    service: str
    zone: str
    http: str
    udp: str
    rpc: str
    backend: str
    table: str
    objects: str  # noqa: WPS110
    slots: int
    dialect: str
    checks_fence: bool
    table_name: str = 'plantaingrade'
    bucket: str = 'plantaingrade'
    advertise_http: str = ''
    advertise_udp: str = ''
    advertise_rpc: str = ''

    @classmethod
    def from_flags(cls, **flags: object) -> 'Settings':
        """Create settings from command line flags.

        Raises:
            SettingsError: names each invalid setting and the reason.
        """
        known = {each.name for each in fields(cls)}
        settings = cls(
            **{name: flag for name, flag in flags.items() if name in known},
        )
        mistakes = settings.mistakes()
        if mistakes:
            raise SettingsError(mistakes)
        return settings

    def mistakes(self) -> list[str]:
        """Return a message for each invalid setting."""
        text_by_name = asdict(self)
        found = [
            f'{name}: {text!r} is not an IP address and port'
            for name, text in text_by_name.items()
            if name in ADDRESSES and not is_ip_address(text)
        ]
        found.extend(
            f'{name}: {text!r} is not an IP address and port'
            for name, text in text_by_name.items()
            if name in OPTIONAL_ADDRESSES and text and not is_ip_address(text)
        )
        found.extend(
            f'{name}: {text!r} may hold only letters, digits, dots, dashes and'
            ' underscores'
            for name, text in text_by_name.items()
            if name in NAMES and NAME.fullmatch(text) is None
        )
        if not 1 <= self.slots <= MAX_SLOTS:
            found.append(
                f'slots: {self.slots} is not between 1 and {MAX_SLOTS}'
            )
        if self.dialect not in DIALECT_BY_NAME:
            choices = ', '.join(sorted(DIALECT_BY_NAME))
            found.append(f'dialect: {self.dialect!r} is not one of {choices}')
        return found
