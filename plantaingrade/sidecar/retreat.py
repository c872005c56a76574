"""Take the own server out of service, and bring it back."""

import asyncio
from collections.abc import Awaitable, Callable

from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.eventlog import EventLog
from plantaingrade.operators.desired_state import DesiredState, TargetState
from plantaingrade.requests.server_path import ServerPath

# Part of the time that an evacuation may take after which nothing goes to the
# server any more, whether its keys have passed on or not. The rest is left to
# a process that hears late of it: the feed brings it within a second, and a
# wait that was lost is ended within two.
CLOSE_PART = 0.5


class Retreat:
    """Keep the server out of service while an operator wants it.

    There are two reasons: a wish for this server, and the evacuation of its
    availability zone. Either has work without keys refused at once, so that
    it goes elsewhere, and the keys given away, which are served meanwhile. An
    evacuation has an end by which nothing may go to the server.

    A server may have lost what it kept in memory when the evacuation is taken
    back, and is asked for its state before it gets its share of the load.
    """

    __slots__ = (
        '_ask_server',
        '_balance',
        '_closing',
        '_evacuate_s',
        '_is_evacuated',
        '_is_evacuation_asked',
        '_is_unwanted',
        '_log',
        '_may_take_keys',
        '_returning',
        '_server_path',
        '_zone',
    )

    def __init__(
        self,
        server_path: ServerPath,
        balance: BalanceCoordinator,
        ask_server: Callable[[], Awaitable[None]],
        may_take_keys: Callable[[], bool],
        zone: str,
        evacuate_s: float,
        log: EventLog,
    ) -> None:
        """Begin in service, in a zone whose evacuation takes ``evacuate_s``."""
        self._server_path = server_path
        self._balance = balance
        self._ask_server = ask_server
        self._may_take_keys = may_take_keys
        self._zone = zone
        self._evacuate_s = evacuate_s
        self._log = log
        self._is_unwanted = False
        self._is_evacuated = False
        self._is_evacuation_asked = False
        self._closing: asyncio.TimerHandle | None = None
        self._returning: asyncio.Task[None] | None = None

    def on_wish(self, wish: DesiredState) -> None:
        """Follow what an operator wants of the own server."""
        is_unwanted = wish.state is not TargetState.SERVE
        if is_unwanted == self._is_unwanted:
            return
        self._is_unwanted = is_unwanted
        self._log.write(
            'wish-followed',
            state=wish.state,
            command=wish.command_id,
            operator=wish.operator,
            version=wish.version,
        )
        self._update()

    def on_evacuations(self, zones: frozenset[str], is_news: bool) -> None:
        """Follow which zones are evacuated.

        What is no news may have been asked for long ago, so that no time is
        left.
        """
        is_evacuated = self._zone in zones
        if is_evacuated == self._is_evacuation_asked:
            return
        self._is_evacuation_asked = is_evacuated
        self.stop()
        if is_evacuated:
            self._is_evacuated = True
            left_s = self._evacuate_s * CLOSE_PART if is_news else 0.0
            self._log.write('zone-evacuated', left_s=left_s)
            loop = asyncio.get_running_loop()
            self._closing = loop.call_later(left_s, self._close)
            self._update()
        else:
            loop = asyncio.get_running_loop()
            self._returning = loop.create_task(self._async_return())

    def stop(self) -> None:
        """Drop what is still to be done."""
        if self._closing is not None:
            self._closing.cancel()
        if self._returning is not None:
            self._returning.cancel()

    def _close(self) -> None:
        self._server_path.is_evacuated = True
        self._log.write('server-closed-off')

    async def _async_return(self) -> None:
        await self._ask_server()
        self._is_evacuated = False
        self._server_path.is_evacuated = False
        self._log.write('zone-returned')
        self._update()

    def _update(self) -> None:
        is_drained = self._is_unwanted or self._is_evacuated
        if is_drained == self._balance.is_drained:
            return
        self._server_path.is_drained = is_drained
        self._balance.is_drained = is_drained
        if is_drained:
            self._balance.leave()
        elif self._may_take_keys():
            self._balance.resume()
