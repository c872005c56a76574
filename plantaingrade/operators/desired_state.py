"""Operators' wishes for servers, kept as rows of the store.

A wish outlives every process. Of two operators that wish differently at the
same moment one wins, by the version of the row, and the other is told.
"""

import json
from enum import StrEnum

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.rows import TABLE
from plantaingrade.schema import SchemaError, parse_object
from plantaingrade.store.entity import Row, RowName
from plantaingrade.store.epochs import MAX_EPOCH, epoch_of, number_of

KEY_WISH = 'wish/'
# Names of commands and operators come from headers, which may be long.
MAX_NAME_CHARS = 4096


class TargetState(StrEnum):
    """What an operator wants of a server."""

    SERVE = 'serve'
    DRAIN = 'drain'
    RETIRE = 'retire'


class UnreadableDesiredStateError(PlantaingradeError):
    """Report a row that holds no wish."""

    advice = 'Another program writes to the same table, or a newer version.'


class DesiredState(Struct, frozen=True):
    """A wish for one member, and the command that brought it.

    ``epoch`` is that of the store in which the command was given.
    """

    state: TargetState
    command_id: str
    operator: str
    version: int = 0
    epoch: int = 0

    @property
    def row_epoch(self) -> int:
        """Return the epoch of the store in which the row was read."""
        return epoch_of(self.version)

    def is_older_than(self, other: 'DesiredState') -> bool:
        """Tell whether another wish came later.

        A copy of the store's rows is read in another epoch than its wishes were
        given in.
        """
        if self.epoch != other.epoch:
            return self.epoch < other.epoch
        return number_of(self.version) < number_of(other.version)


NO_WISH = DesiredState(TargetState.SERVE, '', '')


def desired_state_row(service: str, member: str) -> RowName:
    """Return the name of the row with the wish for a member."""
    return RowName(TABLE, service, KEY_WISH + member)


def encode_desired_state(wish: DesiredState) -> bytes:
    """Return a row's body."""
    fields = {
        'state': wish.state.value,
        'command': wish.command_id,
        'operator': wish.operator,
    }
    if wish.epoch:
        fields['epoch'] = wish.epoch
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_desired_state(row: Row) -> DesiredState:
    """Return the wish that a row holds.

    Raises:
        UnreadableDesiredStateError: the bytes are no wish.
    """
    try:
        fields = parse_object(row.body)
        return DesiredState(
            TargetState(fields.text('state')),
            fields.text('command', MAX_NAME_CHARS),
            fields.text('operator', MAX_NAME_CHARS, 0),
            row.version,
            fields.integer('epoch', 0, MAX_EPOCH) if fields.has('epoch') else 0,
        )
    except (ValueError, SchemaError) as error:
        raise UnreadableDesiredStateError(
            'DesiredState not understood.'
        ) from error
