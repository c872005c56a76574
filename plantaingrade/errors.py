"""Base class of all errors that plantaingrade raises."""


class PlantaingradeError(Exception):
    """Report a failure, with advice on how to resolve it."""

    advice = 'See docs/OPERATIONS.md.'

    def __str__(self) -> str:
        """Return the message followed by the advice."""
        return f'{super().__str__()} {self.advice}'
