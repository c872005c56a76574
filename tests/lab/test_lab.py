"""Results of simulations, and errors about invalid deployment files."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from lab.__main__ import EXIT_BAD_INPUT, compare, simulate
from lab.deployment import DeploymentError, read_deployment

DEPLOYMENTS = Path('lab/deployments')
# Largest loss of worth with polling, relative to the loss with sent loads.
MAX_LOST_FRACTION = 2 / 3
SEEDS = (1, 2)

MISTAKEN = """zones = ["a"]
lenght_s = 3

[[service]]
name = "s"
servers = "two"
slots = 3

[[kind]]
name = "k"
service = "t"
work_ms = 10
objective_ms = 100
deadline_ms = 200
"""


def test_polled_capacity_loses_less_worth_than_sent_loads() -> None:
    """An entry uses each of many small servers too rarely to know its load."""
    path = str(DEPLOYMENTS / 'one-service.toml')
    lost = {
        policy: sum(1 - simulate(path, policy, seed)['worth'] for seed in SEEDS)
        for policy in ('present', 'loads')
    }
    assert lost['present'] < MAX_LOST_FRACTION * lost['loads']


def test_all_mistakes_are_reported_with_their_lines(tmp_path) -> None:
    path = tmp_path / 'mistaken.toml'
    path.write_text(MISTAKEN)
    invoked = CliRunner().invoke(compare, [str(path)])
    assert invoked.exit_code == EXIT_BAD_INPUT
    lines = invoked.output.splitlines()
    assert [line.split(':')[1] for line in lines] == ['4', '1', '9']
    assert 'servers' in lines[0]
    assert 'lenght_s' in lines[1]
    assert "'t'" in lines[2]


def test_a_file_with_invalid_toml_is_named(tmp_path) -> None:
    path = tmp_path / 'broken.toml'
    path.write_text('zones = [')
    with pytest.raises(DeploymentError, match='broken.toml'):
        read_deployment(path)


def test_callers_in_a_zone_without_instances_use_other_zones(
    tmp_path,
) -> None:
    path = tmp_path / 'two-zones.toml'
    lone = (DEPLOYMENTS / 'lone.toml').read_text()
    path.write_text(
        lone.replace('["a"]', '["a", "b", "c"]').replace('= 15.0', '= 0.5')
    )
    assert simulate(str(path), 'present', 1)['served']


@pytest.mark.parametrize('path', sorted(DEPLOYMENTS.glob('*.toml')), ids=str)
def test_included_deployments_are_valid(path) -> None:
    assert read_deployment(path).kind


def test_an_unreadable_file_is_named_without_a_traceback(
    tmp_path,
) -> None:
    garbage = tmp_path / 'garbage.toml'
    garbage.write_bytes(b'\xff\xfe')
    for path in (tmp_path / 'missing.toml', tmp_path, garbage):
        invoked = CliRunner().invoke(compare, [str(path)])
        assert invoked.exit_code == EXIT_BAD_INPUT
        assert str(path) in invoked.output
        assert isinstance(invoked.exception, SystemExit)
