"""No decision reads the time of day."""

import ast
from pathlib import Path

import pytest

import plantaingrade

PACKAGE = Path(plantaingrade.__file__).parent
SOURCES = sorted(PACKAGE.rglob('*.py'))
READER = PACKAGE / 'clock.py'
READINGS = {
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


def readings(source: Path) -> set[str]:
    """Return the clocks that a module reads by the library's ``time``."""
    attributes = (
        node
        for node in ast.walk(ast.parse(source.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    )
    found = {each.attr for each in attributes if each.value.id == 'time'}
    return found & READINGS


def imported(source: Path) -> set[str]:
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
    """The time of day jumps by seconds and back.

    A lease, a hold or a deadline that is counted by it ends at once or goes
    on for as long as the jump. Nothing reads it, by any module.
    """
    assert 'datetime' not in imported(source)
    if source == READER:
        assert readings(source) == {'clock_gettime'}
    else:
        assert not readings(source)
