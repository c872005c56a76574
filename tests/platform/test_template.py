"""Tests for the template from which the platform writes the settings file."""

import json
import re
from pathlib import Path

from plantaingrade.platform.settings import parse_settings

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.json'
# Values that the platform fills in. They are plain fields, independent of the
# layout of the platform's own file.
FIELDS = {
    'nodeName': 'sidecar-a-1',
    'zone': 'a',
    'bootstrap': True,
    'ip': '10.1.0.38',
    'limits': {'cpuShare': 0.43, 'memoryMb': 200, 'linkMbps': 5.0},
    'service': 'cases',
    'appAddr': '10.1.0.38:8145',
    'listenAddrs': {
        'outbound': '10.1.0.38:8147',
        'ready': '10.1.0.38:8141',
        'controlPlane': '10.1.0.38:8144',
    },
    'internalPortRange': [7380, 7395],
    'heartbeat': '870ms',
    'platform': {'address': '10.200.1.7:8142', 'rowBytes': 65536},
    'bounds': {
        'drain': '2500ms',
        'grace': '6s',
        'coldOverage': 1.5,
        'coldSlack': 8,
        'evacuate': '5000ms',
    },
}


def filled() -> str:
    return re.sub(
        r'{{(\w+)\|json}}',
        lambda found: json.dumps(FIELDS[found[1]]),
        TEMPLATE.read_text(encoding='utf-8'),
    )


def test_filled_template_is_a_valid_settings_file() -> None:
    """The filled template must have the layout that the process reads.

    If it copied the plain fields as they are, no process would find them.
    """
    settings = parse_settings(filled())
    assert settings.name == 'sidecar-a-1'
    assert settings.store == '10.200.1.7:8142'
    assert settings.listeners.peers == '10.1.0.38:7380'
    assert settings.starts_with_all
    assert settings.memory_mb == 200
    assert settings.bounds.cold_slack == 8
    assert settings.bounds.evacuate_s == 5


def test_filled_template_is_json() -> None:
    """Any other YAML would require the YAML library at each start."""
    assert json.loads(filled())
