"""The lease of one member, as its row in the store holds it."""

import json

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import Witness
from plantaingrade.peers.entity import Member
from plantaingrade.schema import Fields, SchemaError, parse_object

# Far above any reading of the store's clock, which counts from its start.
MAX_STORE_S = 1e12
# Digits of the number of a write: more than a process makes in its life.
MAX_NUMBER_DIGITS = 12
# Witnesses that are read from a row.
MAX_WITNESSES = 5


class UnreadableLeaseError(PlantaingradeError):
    """Report a row that holds no member."""

    advice = 'Another program writes to the same table, or a newer version.'


class MemberRow(Struct, frozen=True):
    """A member and the end of its lease.

    ``until_s`` is a time of the store's clock, 0 for a member that holds no
    keys; ``takes_keys`` is whether others may give it keys. ``write_id``
    names the write, so that a writer whose answer was lost can tell its own
    write from another's. ``version`` is the row's version. From
    ``base_until_s`` on the member needs promises of its ``witnesses``; without
    any both ends are the same.
    """

    member: Member
    until_s: float
    write_id: str
    takes_keys: bool = True
    version: int = 0
    base_until_s: float = 0.0
    witnesses: tuple[Witness, ...] = ()

    @property
    def write_number(self) -> int:
        """Return the number of the write in its run, 0 if it has none."""
        number = self.write_id.rpartition('.')[-1]
        is_number = number.isascii() and number.isdigit()
        return int(number[:MAX_NUMBER_DIGITS]) if is_number else 0

    def as_of(self, latest_end_s: float) -> 'MemberRow':
        """Return the row as it is to be used, given how long a lease can be.

        A lease of another writer may end in a far future, and nobody would take
        its keys over.
        """
        if self.until_s <= latest_end_s:
            return self
        return replace(self, takes_keys=False)


def unreadable_row(member: Member, version: int, until_s: float) -> MemberRow:
    """Return what stands for a row that is there and cannot be read."""
    return MemberRow(member, until_s, '', takes_keys=False, version=version)


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
    if row.witnesses:
        fields['base_until'] = round(row.base_until_s, 3)
        fields['witnesses'] = [[each.name, each.boot] for each in row.witnesses]
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_member_row(name: str, body: bytes, version: int) -> MemberRow:
    """Return the member that a row holds.

    Raises:
        UnreadableLeaseError: the bytes are no member.
    """
    try:
        fields = parse_object(body)
        member = Member(
            name,
            fields.text('service'),
            fields.text('zone'),
            fields.text('address', min_chars=0),
            fields.text('boot'),
        )
        until_s = fields.number('until', 0, MAX_STORE_S)
        witnesses = _decode_witnesses(fields)
        base_until_s = until_s
        if witnesses:
            base_until_s = fields.number('base_until', 0, until_s)
        return MemberRow(
            member,
            until_s,
            fields.text('write'),
            fields.boolean('takes'),
            version,
            base_until_s,
            witnesses,
        )
    except SchemaError as error:
        raise UnreadableLeaseError(
            f'Member row not understood: {error}'
        ) from error


def _decode_witnesses(fields: Fields) -> tuple[Witness, ...]:
    if not fields.has('witnesses'):
        return ()
    pairs = fields.array('witnesses')
    if len(pairs) > MAX_WITNESSES:
        raise SchemaError('Too many witnesses.')
    return tuple(_decode_witness(pair) for pair in pairs)


def _decode_witness(pair: object) -> Witness:
    if not isinstance(pair, list) or len(pair) != 2:
        raise SchemaError('A witness is not a pair.')
    fields = Fields({'name': pair[0], 'boot': pair[1]})
    return Witness(fields.text('name'), fields.text('boot'))
