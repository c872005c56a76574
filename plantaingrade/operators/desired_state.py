"""Desired states of servers, set by operators and kept as rows of the store.

A desired state survives the restart of every process. If two operators write
different states at the same time, the version of the row decides which one is
applied, and the other operator gets a conflict.
"""

import json
from enum import StrEnum

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.rows import TABLE
from plantaingrade.schema import SchemaError, parse_object
from plantaingrade.store.entity import Row, RowName
from plantaingrade.store.epochs import MAX_EPOCH, epoch_of, number_of

KEY_DESIRED_STATE = 'wish/'
# Command ids and operator names come from headers, which may be long.
MAX_NAME_CHARS = 4096


class TargetState(StrEnum):
    """State into which an operator puts a server."""

    SERVE = 'serve'
    DRAIN = 'drain'
    RETIRE = 'retire'


class UnreadableDesiredStateError(PlantaingradeError):
    """Report a row that holds no valid desired state."""

    advice = 'Another program or a newer version writes to the same table.'


class DesiredState(Struct, frozen=True):
    """Desired state of one member, and the command that set it.

    ``epoch`` is the epoch of the store in which the command was given.
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
        """Return whether the other state was set later.

        Rows restored from a backup of the store are read in another epoch than
        the one in which they were written.
        """
        if self.epoch != other.epoch:
            return self.epoch < other.epoch
        return number_of(self.version) < number_of(other.version)


DEFAULT_DESIRED_STATE = DesiredState(TargetState.SERVE, '', '')


def desired_state_row(service: str, member: str) -> RowName:
    """Return the name of the row with the desired state of a member."""
    return RowName(TABLE, service, KEY_DESIRED_STATE + member)


def encode_desired_state(desired: DesiredState) -> bytes:
    """Return the body of the row for a desired state."""
    fields = {
        'state': desired.state.value,
        'command': desired.command_id,
        'operator': desired.operator,
    }
    if desired.epoch:
        fields['epoch'] = desired.epoch
    return json.dumps(fields, separators=(',', ':')).encode()


def decode_desired_state(row: Row) -> DesiredState:
    """Return the desired state that a row holds.

    Raises:
        UnreadableDesiredStateError: the body is not a valid desired state.
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
            'Desired state cannot be decoded.'
        ) from error
