"""Reader of the settings file that the platform writes for each process."""

import ipaddress
import json
import math
from collections.abc import Callable
from pathlib import Path
from typing import Any

from plantaingrade.addresses import MAX_PORT, is_ip_address
from plantaingrade.platform.units import UnreadableFieldError, parse_time
from plantaingrade.schema import DECODE_ERRORS
from plantaingrade.sidecar.settings import (
    Bounds,
    InstanceSettings,
    InstanceSettingsError,
    Listeners,
)

MISSING = object()
# Port of the metrics listener, as declared in the deploy file.
METRICS_PORT = 9464
DEFAULT_ROW_BYTES = 65_536
DEFAULT_RETRY_WINDOW_S = 10.0


class FieldReader:
    """Reads fields by their path and collects all mistakes."""

    __slots__ = ('_fields', 'mistakes')

    def __init__(self, fields: Any) -> None:
        """Create a reader for the parsed content of a settings file."""
        self._fields = fields
        self.mistakes: list[str] = []

    def take(
        self,
        path: str,
        parse: Callable[[Any], Any],
        default: Any = MISSING,
    ) -> Any:
        """Return the parsed field at a dotted path, or its default.

        A field that is missing or invalid is added to ``mistakes``, and None is
        returned.
        """
        raw = self._find(path)
        if raw is None or raw is MISSING:
            if default is MISSING:
                self.mistakes.append(f'{path}: missing')
                return None
            return default
        try:
            return parse(raw)
        except (UnreadableFieldError, ValueError, TypeError) as error:
            self.mistakes.append(f'{path}: {error}')
            return None

    def _find(self, path: str) -> Any:
        node = self._fields
        for name in path.split('.'):
            if isinstance(node, dict):
                node = node.get(name, MISSING)
            elif isinstance(node, list) and name.isdigit():
                index = int(name)
                node = node[index] if index < len(node) else MISSING
            else:
                return MISSING
        return node


def load_settings(path: str) -> InstanceSettings:
    """Read and validate a settings file.

    Raises:
        InstanceSettingsError: the file cannot be read, or some fields are
            invalid; it names each of them with the reason.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise InstanceSettingsError([f'{path}: {error.strerror}']) from error
    return parse_settings(text)


def parse_settings(text: str) -> InstanceSettings:
    """Parse and validate the text of a settings file.

    Raises:
        InstanceSettingsError: some fields are invalid; it names each of them
            with the reason.
    """
    fields = _parse_text(text)
    if not isinstance(fields, dict):
        raise InstanceSettingsError(['the top level must be a mapping'])
    reader = FieldReader(fields)
    settings = _read(reader)
    if reader.mistakes:
        raise InstanceSettingsError(reader.mistakes)
    return settings


def _parse_text(text: str) -> Any:
    """Parse a settings file in JSON or another form of YAML.

    The deploy file asks for JSON. Importing and using the YAML library would
    take 11 ms of CPU time at each start.
    """
    try:
        return json.loads(text)
    except DECODE_ERRORS:
        return _parse_yaml(text)


def _parse_yaml(text: str) -> Any:
    import yaml  # noqa: WPS433

    try:
        return yaml.safe_load(text)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InstanceSettingsError([f'invalid YAML: {error}']) from error


def _read(reader: FieldReader) -> InstanceSettings:
    return InstanceSettings(
        name=reader.take('self.nodeName', _text),
        zone=reader.take('self.zone', _text),
        ip=reader.take('self.ip', _ip),
        service=reader.take('self.service', _text),
        backend=reader.take('self.appAddr', _address),
        store=reader.take('platform.platform.address', _address),
        listeners=_read_listeners(reader),
        bounds=_read_bounds(reader),
        max_row_bytes=reader.take(
            'platform.platform.rowBytes', int, DEFAULT_ROW_BYTES
        ),
        starts_with_all=reader.take('self.bootstrap', _flag, False),
        memory_mb=reader.take('self.limits.memoryMb', _size, 0.0),
        link_mbps=reader.take('self.limits.linkMbps', _size, 0.0),
    )


def _read_listeners(reader: FieldReader) -> Listeners:
    ip = reader.take('self.ip', _ip, '')
    peers_port = reader.take('network.internalPortRange.0', _port)
    return Listeners(
        # "outbound" is the platform's name for requests from callers, since
        # they leave through this process.
        callers=reader.take('network.listenAddrs.outbound', _address),
        peers=f'{ip}:{peers_port}',
        ready=reader.take('network.listenAddrs.ready', _address),
        # Despite its name, "controlPlane" receives only the heartbeats of the
        # local server.
        reports=reader.take('network.listenAddrs.controlPlane', _address),
        metrics=f'{ip}:{METRICS_PORT}',
    )


def _read_bounds(reader: FieldReader) -> Bounds:
    bounds = 'terms.bounds.'
    return Bounds(
        drain_s=reader.take(f'{bounds}drain', parse_time),
        stop_grace_s=reader.take(f'{bounds}grace', parse_time),
        max_hold_s=reader.take(f'{bounds}maxHold', parse_time, 0.0),
        address_reuse_s=reader.take(f'{bounds}addrReuse', parse_time, 0.0),
        heartbeat_s=reader.take('platform.heartbeat', parse_time),
        retry_ratio=reader.take(f'{bounds}retryBudgetRatio', float, 0.0),
        retry_window_s=reader.take(
            f'{bounds}budgetWindow', parse_time, DEFAULT_RETRY_WINDOW_S
        ),
        retry_slack=reader.take(f'{bounds}retryBudgetSlack', float, 0.0),
        cold_overage=reader.take(f'{bounds}coldOverage', float, 1.0),
        cold_slack=reader.take(f'{bounds}coldSlack', float, 0.0),
        evacuate_s=reader.take(f'{bounds}evacuate', parse_time, 0.0),
    )


def _text(raw: Any) -> str:
    if not isinstance(raw, str) or not raw:
        raise ValueError(f'{raw!r} is not a non-empty string')
    return raw


def _flag(raw: Any) -> bool:
    if isinstance(raw, bool):
        return raw
    raise ValueError(f'{raw!r} is not a boolean')


def _size(raw: Any) -> float:
    size = float(raw)
    if not math.isfinite(size) or size < 0:
        raise ValueError(f'{raw!r} is not a size')
    return size


def _ip(raw: Any) -> str:
    return str(ipaddress.ip_address(raw))


def _port(raw: Any) -> int:
    if isinstance(raw, int) and 0 < raw <= MAX_PORT:
        return raw
    raise ValueError(f'{raw!r} is not a port number')


def _address(raw: Any) -> str:
    if not is_ip_address(_text(raw)):
        raise ValueError(f'{raw!r} is not an IP address and port')
    return raw
