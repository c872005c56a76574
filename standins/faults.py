"""Faults that a stand-in injects on command."""

import asyncio
import json
import random
from dataclasses import dataclass, fields

from plantaingrade.http.channel import Channel
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Request
from plantaingrade.routing.respond import send_plain

FAULT_TARGET = b'/-/fault'
OK = 200
BAD_REQUEST = 400


@dataclass(slots=True)
class Faults:
    """Active faults; none at first. Field names are keys of the command."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: float = 0.0
    refuse_share: float = 0.0
    lie_state: str = ''
    silent: bool = False

    def loses_answer(self) -> bool:
        """Return whether this answer is lost after the write."""
        return random.random() < self.lose_answers

    def refuses(self) -> bool:
        """Return whether this request is refused for its rate."""
        return random.random() < self.refuse_share

    async def async_delay(self) -> None:
        """Wait for the delay of a slow service."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)

    async def async_handle_command(
        self, request: Request, channel: Channel
    ) -> bool:
        """Apply a fault command; return whether the request was one."""
        if request.target != FAULT_TARGET:
            return False
        wanted = json.loads(await read_body(channel))
        known = {each.name for each in fields(self)}
        if not wanted.keys() <= known:
            send_plain(channel, BAD_REQUEST, b'{"error": "unknown fault"}')
            return True
        for name, setting in wanted.items():
            setattr(self, name, setting)
        send_plain(channel, OK, b'{}')
        return True
