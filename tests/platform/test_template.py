"""The template by which the platform writes the settings file."""

import json
import re
from pathlib import Path

from plantaingrade.platform.settings import parse_settings

TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.json'
# What the platform fills in: plain fields, whatever the layout of its own file.
FIELDS = {
    'nodeName': 'sidecar-a-1',
    'zone': 'a',
    'bootstrap': True,
    'ip': '10.1.0.38',
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


def test_what_the_platform_fills_in_can_be_used() -> None:
    """A process is started with the template's settings.

    With the platform's own layout in mind the template copied plain fields
    as they stood, and no process found any of them.
    """
    settings = parse_settings(filled())
    assert settings.name == 'sidecar-a-1'
    assert settings.store == '10.200.1.7:8142'
    assert settings.listeners.peers == '10.1.0.38:7380'
    assert settings.starts_with_all
    assert settings.bounds.cold_slack == 8
    assert settings.bounds.evacuate_s == 5


def test_the_template_is_json_once_it_is_filled() -> None:
    """Any other YAML would cost each start the YAML library."""
    assert json.loads(filled())
