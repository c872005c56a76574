"""Errors for requests that cannot be accepted."""

from plantaingrade.errors import PlantaingradeError


class MalformedRequestError(PlantaingradeError):
    """A header of a caller's request is malformed."""

    advice = 'Send the headers in the format that the platform documents.'


class BodyTooLongError(PlantaingradeError):
    """A request body exceeds the limit set by the operator."""

    advice = 'Send a smaller body, or ask the operator for a higher limit.'


class BufferBudgetExceededError(PlantaingradeError):
    """The buffered bodies leave no memory for another one."""

    advice = 'Retry after other requests have finished.'
