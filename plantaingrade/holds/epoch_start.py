"""The row that says until when leases of earlier epochs may run.

A store that comes back from a copy knows neither who renewed nor which keys
passed on in the seconds that are gone. So nothing is concluded from rows of the
copy: each epoch has rows of its own. Members that hold a lease carry it over;
keys that nobody carries over rest until every earlier lease is over.
"""

import json

from msgspec import Struct

from plantaingrade.holds.lease import MAX_STORE_S, UnreadableLeaseError
from plantaingrade.schema import SchemaError, parse_object


# Stands for the time in a row that cannot be read.
UNKNOWN_S = float('inf')


class EpochStart(Struct, frozen=True):
    """When all leases of earlier epochs are over, by the store's clock."""

    leases_over_s: float
    version: int = 0

    @property
    def is_readable(self) -> bool:
        """Tell whether the row says when they are over."""
        return self.leases_over_s < UNKNOWN_S


def encode_epoch_start(start: EpochStart) -> bytes:
    """Return the row's body."""
    fields = {'leases_over': round(start.leases_over_s, 3)}
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_epoch_start(body: bytes, version: int) -> EpochStart:
    """Return what a row says.

    Raises:
        UnreadableLeaseError: the bytes hold no such time.
    """
    try:
        ends_s = parse_object(body).number('leases_over', 0, MAX_STORE_S)
    except SchemaError as error:
        raise UnreadableLeaseError(
            f'Start of an epoch not understood: {error}'
        ) from error
    return EpochStart(ends_s, version)
