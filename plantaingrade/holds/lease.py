"""The lease of one member, as its row in the store holds it."""

import json
from dataclasses import dataclass

from plantaingrade.errors import PlantaingradeError
from plantaingrade.peers.entity import Member


class UnreadableLeaseError(PlantaingradeError):
    """Report a row that holds no member."""

    advice = 'Another program writes to the same table, or a newer version.'


@dataclass(slots=True, frozen=True)
class MemberRow:
    """A member and the end of its lease.

    ``until_s`` is a time of the store's clock, 0 for a member that holds no
    keys; ``takes_keys`` is whether others may give it keys. ``write_id``
    names the write, so that a writer whose answer was lost can tell its own
    write from another's. ``version`` is the row's version.
    """

    member: Member
    until_s: float
    write_id: str
    takes_keys: bool = True
    version: int = 0


def encode_member_row(row: MemberRow) -> bytes:
    """Return a row's body."""
    member = row.member
    fields = {
        'service': member.service,
        'zone': member.zone,
        'address': member.address,
        'boot': member.boot,
        'until': round(row.until_s, 3),
        'write': row.write_id,
        'takes': row.takes_keys,
    }
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_member_row(name: str, body: bytes, version: int) -> MemberRow:
    """Return the member that a row holds.

    Raises:
        UnreadableLeaseError: the bytes are no member.
    """
    try:
        fields = json.loads(body)
        member = Member(
            name,
            str(fields['service']),
            str(fields['zone']),
            str(fields['address']),
            str(fields['boot']),
        )
        return MemberRow(
            member,
            float(fields['until']),
            str(fields['write']),
            bool(fields['takes']),
            version,
        )
    except (ValueError, KeyError, TypeError) as error:
        raise UnreadableLeaseError('Member row not understood.') from error
