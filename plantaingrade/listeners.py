"""Call all listeners, also behind one that fails."""

from collections.abc import Callable, Iterable
from typing import Any


def notify_all(
    listeners: Iterable[Callable[..., None]], *args: Any, **options: Any
) -> None:
    """Call each listener, then raise the first exception, if any."""
    errors: list[Exception] = []
    for listener in listeners:
        try:
            listener(*args, **options)
        except Exception as error:
            errors.append(error)
    if errors:
        raise errors[0]
