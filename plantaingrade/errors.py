"""Base of every error that plantaingrade raises."""


class PlantaingradeError(Exception):
    """Report a failure together with what the reader can do about it."""

    advice = 'See docs/OPERATIONS.md.'

    def __str__(self) -> str:
        """Return the message followed by the advice."""
        return f'{super().__str__()} {self.advice}'
