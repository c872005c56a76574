"""Command line interface."""

import asyncio
import getpass
import json
import sys
import uuid
from typing import Any
from urllib import error as url_error
from urllib import request as url_request

import click
from absl import logging

from plantaingrade.errors import PlantaingradeError
from plantaingrade.node.const import ENV_PREFIX
from plantaingrade.node.settings import Settings

CALL_TIMEOUT_S = 10


@click.group(context_settings={'auto_envvar_prefix': ENV_PREFIX})
@click.version_option(package_name='plantaingrade')
def main() -> None:
    """Router for backend servers that own keys exclusively."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)


@main.command()
@click.option('--server', required=True, help='Id of the backend server.')
@click.option('--service', required=True, help='Service of the server.')
@click.option('--zone', required=True, help='Availability zone.')
@click.option('--http', required=True, help='Listen for callers, ip:port.')
@click.option('--udp', required=True, help='Listen for datagrams, ip:port.')
@click.option('--rpc', required=True, help='Listen for gRPC, ip:port.')
@click.option('--advertise-http', default='', help='Address for callers.')
@click.option('--advertise-udp', default='', help='Address for peers.')
@click.option('--advertise-rpc', default='', help='Address for peers.')
@click.option('--backend', required=True, help='Backend server, ip:port.')
@click.option('--table', required=True, help='Table service, ip:port.')
@click.option('--objects', required=True, help='Object store, ip:port.')
@click.option('--table-name', default='plantaingrade', show_default=True)
@click.option('--bucket', default='plantaingrade', show_default=True)
@click.option('--slots', type=int, required=True, help='Concurrent requests.')
@click.option('--dialect', required=True, help='Dialect: status or text.')
@click.option('--checks-fence/--no-checks-fence', required=True)
def run(**flags: Any) -> None:
    """Run the process for one backend server."""
    # Only this command needs the data path; the others start faster without it.
    from plantaingrade.node.run import async_run  # noqa: WPS433

    try:
        settings = Settings.from_flags(**flags)
    except PlantaingradeError as error:
        raise click.UsageError(str(error)) from error
    asyncio.run(async_run(settings))


@main.command('do')
@click.option('--at', required=True, help='Address of any process, ip:port.')
@click.option('--id', 'command_id', default='', help='Id of the command.')
@click.argument('words', nargs=-1, required=True)
def send(at: str, command_id: str, words: tuple[str, ...]) -> None:
    """Send one statement, such as: owner of 4711 in casebook."""
    headers = {
        'x-command-id': command_id or uuid.uuid4().hex,
        'x-operator': getpass.getuser(),
    }
    statement = ' '.join(_quote(word) for word in words).encode()
    _print_answer(_call(at, 'statement', statement, headers))


@main.command()
@click.option('--at', required=True, help='Address of any process, ip:port.')
@click.argument('document', type=click.File('rb'))
def apply(at: str, document: Any) -> None:
    """Apply a declarations document."""
    _, in_force = _call(at, 'statement', b'show config', {})
    headers = {'x-based-on': str(in_force['generation'])}
    _print_answer(_call(at, 'declaration', document.read(), headers))


@main.command()
@click.option('--at', required=True, help='Address of any process, ip:port.')
@click.argument('document', type=click.File('r'))
def plan(at: str, document: Any) -> None:
    """Compare a declarations document with the one in force."""
    from plantaingrade.operators.changes import describe_changes  # noqa: WPS433

    _, in_force = _call(at, 'statement', b'show config', {})
    try:
        lines = describe_changes(in_force['text'], document.read())
    except PlantaingradeError as error:
        raise click.ClickException(str(error)) from error
    click.echo('\n'.join(lines) or 'no changes')


@main.command()
@click.option('--at', required=True, help='Address of any process, ip:port.')
def confirm(at: str) -> None:
    """Check that every process has applied the current generation."""
    _, servers = _call(at, 'statement', b'show servers', {})
    _, config = _call(at, 'statement', b'show config', {})
    behind = []
    for row in servers:
        _, status = _call(row['http'], 'status', None, {})
        if status.get('generation', 0) < config['generation']:
            behind.append(row['server'])
    _print_answer(
        (not behind, {'generation': config['generation'], 'behind': behind})
    )


def _quote(word: str) -> str:
    return f'"{word}"' if ' ' in word else word


def _call(
    at: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> tuple[bool, Any]:
    request = url_request.Request(
        f'http://{at}/-/{path}',
        body,
        headers,
    )
    try:
        with url_request.urlopen(request, timeout=CALL_TIMEOUT_S) as reply:
            return True, json.load(reply)
    except url_error.HTTPError as error:
        return False, json.load(error)
    except OSError as error:
        raise click.ClickException(f'{at} does not answer: {error}') from error


def _print_answer(answer: tuple[bool, Any]) -> None:
    is_ok, body = answer
    click.echo(json.dumps(body, indent=2))
    if not is_ok:
        sys.exit(1)
