"""Run a process until it is told to stop, through as many incarnations."""

import asyncio
import signal

from absl import logging

from plantaingrade.node.const import REJOIN_PAUSE_S
from plantaingrade.node.runtime import Node
from plantaingrade.node.settings import Settings


async def async_run(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT; leave without harming anyone.

    A member whose lease is lost for good comes back as a new incarnation.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        async with Node(settings) as node:
            await _first(stop, node.lost)
            if stop.is_set():
                await node.async_leave()
                logging.info('Left')
                return
        await asyncio.sleep(REJOIN_PAUSE_S)


async def _first(*events: asyncio.Event) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
