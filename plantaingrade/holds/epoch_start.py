"""The row that says until when leases of earlier epochs may run.

A store that was restored from a snapshot has lost who renewed and which keys
were transferred in its last seconds. So rows of the snapshot are not used: each
epoch has rows of its own. Members that hold a lease migrate it; keys that
nobody migrates stay unserved until every earlier lease is over.
"""

import json

from msgspec import Struct

from plantaingrade.holds.lease import MAX_STORE_S, UnreadableLeaseError
from plantaingrade.schema import SchemaError, parse_object

# Time in place of one that cannot be read.
UNKNOWN_S = float('inf')


class EpochStart(Struct, frozen=True):
    """Time of the store's clock when leases of earlier epochs are over."""

    leases_over_s: float
    version: int = 0

    @property
    def is_readable(self) -> bool:
        """Return whether the row could be read."""
        return self.leases_over_s < UNKNOWN_S


def encode_epoch_start(start: EpochStart) -> bytes:
    """Return the encoded body of the row."""
    fields = {'leases_over': round(start.leases_over_s, 3)}
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_epoch_start(body: bytes, version: int) -> EpochStart:
    """Return the start decoded from a row's body.

    Raises:
        UnreadableLeaseError: the body does not hold a valid time.
    """
    try:
        ends_s = parse_object(body).number('leases_over', 0, MAX_STORE_S)
    except SchemaError as error:
        raise UnreadableLeaseError(
            f'Invalid start row of an epoch: {error}'
        ) from error
    return EpochStart(ends_s, version)
