"""Command line of the sidecar process of a backend server."""

import click

from plantaingrade.sidecar.run import run
from plantaingrade.sidecar.settings import ENV_PREFIX, ProcessOptions


@click.command(context_settings={'auto_envvar_prefix': ENV_PREFIX})
@click.option('--peers-bind', default='', help='Listen for peers, ip:port.')
@click.option(
    '--binds-source/--no-binds-source',
    default=False,
    help='Connect to peers from the address of this instance.',
)
def main(peers_bind: str, binds_source: bool) -> None:
    """Run beside a backend server, as the platform's settings file says."""
    run(ProcessOptions(peers_bind, binds_source))
