"""Tests for the settings file that the platform writes."""

import pytest

from plantaingrade.platform.settings import load_settings, parse_settings
from plantaingrade.sidecar.settings import InstanceSettingsError

VALID = """
grants: "request"
self:
  nodeName: "sidecar-a-1"
  role: "router"
  ip: "10.1.0.38"
  zone: "a"
  appAddr: "10.1.0.38:8145"
  service: "huvo11a"
network:
  listenAddrs:
    inbound: "10.1.0.38:8146"
    outbound: "10.1.0.38:8147"
    ready: "10.1.0.38:8141"
    controlPlane: "10.1.0.38:8144"
  internalPortRange:
    - 7380
    - 7395
platform:
  heartbeat: "870ms"
  platform:
    address: "10.200.1.7:8142"
    rowBytes: 65536
terms:
  bounds:
    drain: "2000ms"
    grace: "6s"
    maxHold: "10000ms"
    addrReuse: "2s"
    retryBudgetRatio: 0.2
    budgetWindow: "10s"
    retryBudgetSlack: 58
unknownField: [1, 2]
"""


def mistakes_of(text: str) -> list[str]:
    with pytest.raises(InstanceSettingsError) as caught:
        parse_settings(text)
    return caught.value.mistakes


def test_settings_file_is_parsed() -> None:
    settings = parse_settings(VALID)
    assert settings.name == 'sidecar-a-1'
    assert settings.backend == '10.1.0.38:8145'
    assert settings.store == '10.200.1.7:8142'
    assert settings.listeners.callers == '10.1.0.38:8147'
    assert settings.listeners.peers == '10.1.0.38:7380'
    assert settings.listeners.reports == '10.1.0.38:8144'
    assert settings.bounds.drain_s == pytest.approx(2)
    assert settings.bounds.heartbeat_s == pytest.approx(0.87)


def test_every_mistake_is_named() -> None:
    text = (
        VALID.replace('"10.1.0.38:8145"', '"nowhere"')
        .replace('"6s"', '"6"')
        .replace('  zone: "a"\n', '')
        .replace('- 7380', '- 70000')
    )
    named = {mistake.split(':')[0] for mistake in mistakes_of(text)}
    assert named == {
        'self.appAddr',
        'self.zone',
        'terms.bounds.grace',
        'network.internalPortRange.0',
    }


@pytest.mark.parametrize('text', ['', '[1]', 'a: [', '3', 'self: 5\n'])
def test_invalid_settings_file_is_rejected(text) -> None:
    assert mistakes_of(text)


def test_error_for_a_missing_file_contains_its_path() -> None:
    with pytest.raises(InstanceSettingsError) as caught:
        load_settings('/nowhere/settings.yaml')
    assert '/nowhere/settings.yaml' in str(caught.value)


@pytest.mark.parametrize(
    'text', ['[' * 100_000, '{a: ' * 5000, f'a: {"9" * 5000}', 'a: 2001-99-99']
)
def test_odd_settings_file_is_a_mistake_of_its_writer(text) -> None:
    """Guards against a process that ends without saying why."""
    assert mistakes_of(text)
