"""Every background task of the platform's program has one kind of start."""

import ast
from pathlib import Path

import plantaingrade

PACKAGE = Path(plantaingrade.__file__).parent
# Packages of the stand-alone program alone, which ends if a loop fails.
STAND_ALONE = frozenset(('membership', 'node', 'routing'))
SUPERVISION = 'supervision'
# The wait of the follower awaits both of its tasks where it starts them.
AWAITED_AT_ONCE = {'config/coordinator.py': 2}
STARTS = frozenset(('create_task', 'ensure_future', 'TaskGroup'))


def _count_starts(path: Path) -> int:
    return sum(
        isinstance(node, ast.Attribute) and node.attr in STARTS
        for node in ast.walk(ast.parse(path.read_text()))
    )


def test_no_task_is_started_without_supervision() -> None:
    """Guards against a task whose exception nobody hears of."""
    starts = {
        str(path.relative_to(PACKAGE)): _count_starts(path)
        for path in PACKAGE.rglob('*.py')
        if path.relative_to(PACKAGE).parts[0] not in {SUPERVISION, *STAND_ALONE}
    }
    found = {name: count for name, count in starts.items() if count}
    assert found == AWAITED_AT_ONCE
