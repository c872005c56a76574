"""Errors of requests that cannot be taken."""

from plantaingrade.errors import PlantaingradeError


class MalformedRequestError(PlantaingradeError):
    """Report a header of a caller that cannot be used."""

    advice = 'Send the headers in the form that the platform documents.'


class BodyTooLongError(PlantaingradeError):
    """Report a body above what the operator allows."""

    advice = 'Send less, or ask the operator for a higher limit.'


class BufferBudgetExceededError(PlantaingradeError):
    """Report that the bodies in memory leave no room for another."""

    advice = 'Come back when others have been served.'
