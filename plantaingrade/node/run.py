"""Run a process until it is stopped, as a series of incarnations."""

import asyncio
import signal

from absl import logging

from plantaingrade.node.const import REJOIN_PAUSE_S
from plantaingrade.node.runtime import Node
from plantaingrade.node.settings import Settings


async def async_run(settings: Settings) -> None:
    """Serve until SIGTERM or SIGINT, then leave the cluster gracefully.

    A member that has lost its lease permanently rejoins as a new incarnation.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    while not stop.is_set():
        async with Node(settings) as node:
            await _wait_for_any(stop, node.lease_lost)
            if stop.is_set():
                await node.async_leave()
                logging.info('Left')
                return
        await asyncio.sleep(REJOIN_PAUSE_S)


async def _wait_for_any(*events: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
