"""Run one process until it receives a signal to stop."""

import asyncio
import os
import signal
import sys

from plantaingrade.clock import BootClock
from plantaingrade.eventlog import EventLog
from plantaingrade.platform.const import ENV_SETTINGS
from plantaingrade.platform.settings import load_settings
from plantaingrade.platform.wire import make_wire
from plantaingrade.sidecar.process import Process
from plantaingrade.sidecar.settings import (
    InstanceSettings,
    InstanceSettingsError,
    ProcessOptions,
)
from plantaingrade.supervision.failures import FailureLog

EXIT_BAD_SETTINGS = 2


def run(options: ProcessOptions) -> None:
    """Run beside a backend server with the platform's settings file."""
    clock = BootClock()
    path = os.environ.get(ENV_SETTINGS, '')
    try:
        settings = load_settings(path)
    except InstanceSettingsError as error:
        log = EventLog('unnamed', clock)
        log.write('settings-rejected', path=path, mistakes=error.mistakes)
        sys.exit(EXIT_BAD_SETTINGS)
    log = EventLog(settings.name, clock)
    asyncio.run(_async_run(settings, options, clock, log))


async def _async_run(
    settings: InstanceSettings,
    options: ProcessOptions,
    clock: BootClock,
    log: EventLog,
) -> None:
    FailureLog(log).install()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    log.write(
        'started', service=settings.service, zone=settings.zone, pid=os.getpid()
    )
    adapter = make_wire(settings, clock)
    async with Process(settings, adapter, clock, log, options) as process:
        await stop.wait()
        await process.async_shut_down()
