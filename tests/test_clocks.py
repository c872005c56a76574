"""No module reads the time of day."""

import ast
from pathlib import Path

import pytest

import plantaingrade

PACKAGE = Path(plantaingrade.__file__).parent
SOURCES = sorted(PACKAGE.rglob('*.py'))
CLOCK_MODULE = PACKAGE / 'clock.py'
CLOCK_FUNCTIONS = {
    'time',
    'time_ns',
    'monotonic',
    'monotonic_ns',
    'perf_counter',
    'clock_gettime',
    'localtime',
    'gmtime',
    'strftime',
}


def clocks_read(source: Path) -> set[str]:
    """Return the functions of ``time`` by which a module reads a clock."""
    attributes = (
        node
        for node in ast.walk(ast.parse(source.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    )
    found = {each.attr for each in attributes if each.value.id == 'time'}
    return found & CLOCK_FUNCTIONS


def imported_modules(source: Path) -> set[str]:
    """Return the modules that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(source.read_text())):
        match node:
            case ast.Import(names=names):
                found |= {name.name for name in names}
            case ast.ImportFrom(module=str(module)):
                found.add(module)
    return found


@pytest.mark.parametrize(
    'source', SOURCES, ids=lambda path: str(path.relative_to(PACKAGE))
)
def test_only_the_boot_clock_is_read(source: Path) -> None:
    """The time of day may jump by seconds in both directions.

    A lease, a hold or a deadline measured by it would end early, or late by the
    size of the jump.
    """
    assert 'datetime' not in imported_modules(source)
    if source == CLOCK_MODULE:
        assert clocks_read(source) == {'clock_gettime'}
    else:
        assert not clocks_read(source)
