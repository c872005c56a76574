"""Settings: every invalid setting is reported."""

import pytest
from click.testing import CliRunner

from plantaingrade.cli import main
from plantaingrade.node.settings import Settings, SettingsError

VALID = {
    'server': 'casebook-1',
    'service': 'casebook',
    'zone': 'lx-oriente',
    'http': '127.0.0.1:7000',
    'udp': '127.0.0.1:7001',
    'rpc': '127.0.0.1:7002',
    'backend': '127.0.0.1:8000',
    'table': '127.0.0.1:9000',
    'objects': '127.0.0.1:9001',
    'slots': 6,
    'dialect': 'status',
    'checks_fence': True,
}


def test_valid_settings() -> None:
    """Valid settings must be accepted."""
    assert Settings.from_flags(**VALID).slots == 6


@pytest.mark.parametrize(
    ('name', 'wrong'),
    [
        ('http', 'localhost:80'),
        ('udp', '127.0.0.1'),
        ('rpc', '127.0.0.1:99999'),
        ('backend', '127.0.0.1:0'),
        ('server', 'two words'),
        ('zone', ''),
        ('slots', 0),
        ('dialect', 'latin'),
        ('advertise_http', 'nowhere'),
    ],
)
def test_invalid_setting_is_named(name: str, wrong: object) -> None:
    """An invalid setting must be reported by its name."""
    with pytest.raises(SettingsError, match=name):
        Settings.from_flags(**{**VALID, name: wrong})


def test_all_mistakes_are_reported_at_once() -> None:
    """An operator must not need one start for each mistake."""
    with pytest.raises(SettingsError) as caught:
        Settings.from_flags(**{**VALID, 'http': 'x', 'slots': -1})
    assert len(caught.value.mistakes) == 2


def test_command_line_names_the_invalid_flag() -> None:
    """An invalid flag must be reported, and nothing may start."""
    flags = [
        '--checks-fence' if name == 'checks_fence' else f'--{name}={text}'
        for name, text in {**VALID, 'dialect': 'latin'}.items()
    ]
    outcome = CliRunner().invoke(main, ['run', *flags])
    assert outcome.exit_code == 2
    assert 'dialect' in outcome.output


def test_settings_are_read_from_the_environment() -> None:
    """Settings must be read from environment variables too."""
    variables = {
        f'PLANTAINGRADE_RUN_{name.upper()}': str(text)
        for name, text in {**VALID, 'slots': 0}.items()
    }
    outcome = CliRunner(env=variables).invoke(main, ['run'])
    assert outcome.exit_code == 2
    assert 'slots' in outcome.output
