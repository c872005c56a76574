"""The lease of one member, as stored in its row."""

import json

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import Witness
from plantaingrade.peers.entity import Member
from plantaingrade.schema import Fields, SchemaError, parse_object

# Far above any reading of the store's clock, which counts from its start.
MAX_STORE_S = 1e12
# Maximum digits of a write number; no process makes that many writes.
MAX_NUMBER_DIGITS = 12
# Maximum number of witnesses read from a row.
MAX_WITNESSES = 5


class UnreadableLeaseError(PlantaingradeError):
    """Report a row that does not hold a valid member."""

    advice = 'Another program writes to the same table, or a newer version.'


class MemberRow(Struct, frozen=True):
    """A member and the end of its lease.

    ``until_s`` is a time of the store's clock, 0 for a member that holds no
    keys; ``accepts_keys`` is whether others may assign keys to it. ``write_id``
    names the write, so that a writer that got no answer can recognise its own
    write. ``version`` is the row's version. From ``base_until_s`` on the member
    needs promises of its ``witnesses``; without witnesses both ends are the
    same.
    """

    member: Member
    until_s: float
    write_id: str
    accepts_keys: bool = True
    version: int = 0
    base_until_s: float = 0.0
    witnesses: tuple[Witness, ...] = ()

    @property
    def write_number(self) -> int:
        """Return the number of the write within its run, 0 if it has none."""
        number = self.write_id.rpartition('.')[-1]
        is_number = number.isascii() and number.isdigit()
        return int(number[:MAX_NUMBER_DIGITS]) if is_number else 0

    def sanitized(self, latest_end_s: float) -> 'MemberRow':
        """Return the row, excluded from new keys if its lease ends too late.

        A malformed row may hold a lease that ends in the far future. Nobody
        would ever take over keys that such a member was given.
        """
        if self.until_s <= latest_end_s:
            return self
        return replace(self, accepts_keys=False)


def placeholder_row(member: Member, version: int, until_s: float) -> MemberRow:
    """Return a row in place of a stored one that cannot be read."""
    return MemberRow(member, until_s, '', accepts_keys=False, version=version)


def encode_member_row(row: MemberRow) -> bytes:
    """Return the encoded body of a row."""
    member = row.member
    fields = {
        'service': member.service,
        'zone': member.zone,
        'address': member.address,
        'boot': member.boot,
        'until': round(row.until_s, 3),
        'write': row.write_id,
        'takes': row.accepts_keys,
    }
    if row.witnesses:
        fields['base_until'] = round(row.base_until_s, 3)
        fields['witnesses'] = [[each.name, each.boot] for each in row.witnesses]
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_member_row(name: str, body: bytes, version: int) -> MemberRow:
    """Return the member row decoded from a body.

    Raises:
        UnreadableLeaseError: the body is not a valid member row.
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
        raise UnreadableLeaseError(f'Invalid member row: {error}') from error


def _decode_witnesses(fields: Fields) -> tuple[Witness, ...]:
    if not fields.has('witnesses'):
        return ()
    pairs = fields.array('witnesses')
    if len(pairs) > MAX_WITNESSES:
        raise SchemaError('Too many witnesses.')
    return tuple(_decode_witness(pair) for pair in pairs)


def _decode_witness(pair: object) -> Witness:
    if not isinstance(pair, list) or len(pair) != 2:
        raise SchemaError('A witness is not a pair of name and boot.')
    fields = Fields({'name': pair[0], 'boot': pair[1]})
    return Witness(fields.text('name'), fields.text('boot'))
