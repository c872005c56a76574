"""What the lab shows, and what it says of files that are no deployments."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from lab.__main__ import EXIT_BAD_INPUT, compare, play
from lab.deployment import DeploymentError, read_deployment

DEPLOYMENTS = Path('lab/deployments')
# Part of the worth lost by loads that were told before that may be lost still.
MAX_LOST_PART = 2 / 3
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


def test_servers_that_are_asked_serve_more_than_those_that_told() -> None:
    """An entry asks each of many small servers too rarely to know its load."""
    path = str(DEPLOYMENTS / 'one-service.toml')
    lost = {
        policy: sum(1 - play(path, policy, seed)['worth'] for seed in SEEDS)
        for policy in ('present', 'loads')
    }
    assert lost['present'] < MAX_LOST_PART * lost['loads']


def test_all_mistakes_are_told_at_once_with_their_lines(tmp_path) -> None:
    path = tmp_path / 'mistaken.toml'
    path.write_text(MISTAKEN)
    told = CliRunner().invoke(compare, [str(path)])
    assert told.exit_code == EXIT_BAD_INPUT
    lines = told.output.splitlines()
    assert [line.split(':')[1] for line in lines] == ['4', '1', '9']
    assert 'servers' in lines[0]
    assert 'lenght_s' in lines[1]
    assert "'t'" in lines[2]


def test_a_file_that_is_no_toml_is_named(tmp_path) -> None:
    path = tmp_path / 'broken.toml'
    path.write_text('zones = [')
    with pytest.raises(DeploymentError, match='broken.toml'):
        read_deployment(path)


def test_callers_of_a_zone_without_instances_ask_those_of_others(
    tmp_path,
) -> None:
    path = tmp_path / 'two-zones.toml'
    lone = (DEPLOYMENTS / 'lone.toml').read_text()
    path.write_text(
        lone.replace('["a"]', '["a", "b", "c"]').replace('= 15.0', '= 0.5')
    )
    assert play(str(path), 'present', 1)['served']


@pytest.mark.parametrize('path', sorted(DEPLOYMENTS.glob('*.toml')), ids=str)
def test_the_deployments_here_have_no_mistakes(path) -> None:
    assert read_deployment(path).kind


def test_a_file_that_cannot_be_read_is_named_without_a_traceback(
    tmp_path,
) -> None:
    garbage = tmp_path / 'garbage.toml'
    garbage.write_bytes(b'\xff\xfe')
    for path in (tmp_path / 'missing.toml', tmp_path, garbage):
        found = CliRunner().invoke(compare, [str(path)])
        assert found.exit_code == EXIT_BAD_INPUT
        assert str(path) in found.output
        assert isinstance(found.exception, SystemExit)
