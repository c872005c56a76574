"""Find unhandled exceptions in what processes have written."""

import sys
from collections.abc import Iterable
from typing import TextIO

import click

# Parts of lines that only an unhandled exception writes: the event of a failed
# task, and texts of the interpreter and of its event loop.
SIGNS = (
    '"event":"task-failed"',
    'Traceback (most recent call last)',
    'exception was never retrieved',
    'Exception ignored in',
    'Exception in callback',
    'Fatal Python error',
)


def find_unhandled(lines: Iterable[str]) -> list[str]:
    """Return the lines that show an unhandled exception."""
    return [line for line in lines if any(sign in line for sign in SIGNS)]


@click.command()
@click.argument('logs', type=click.File(errors='replace'), nargs=-1)
def main(logs: tuple[TextIO, ...]) -> None:
    """Print the lines of LOGS that show an unhandled exception, if any."""
    found = [line for log in logs for line in find_unhandled(log)]
    for line in found:
        click.echo(line.rstrip())
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    main()
