"""Take the local server out of service and return it to service."""

import asyncio
from collections.abc import Awaitable, Callable

from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.eventlog import EventLog
from plantaingrade.operators.desired_state import DesiredState, TargetState
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.supervision.coordinator import Supervisor

# Fraction of the evacuation time after which the server gets no more work,
# even if its keys are not transferred yet. The rest is reserved for a process
# that is notified late: the feed delivers a change within a second, and a lost
# long poll ends within two.
CLOSE_FRACTION = 0.5


class ServerEvacuation:
    """Keeps the server out of service at the request of an operator.

    There are two causes: a request for this server, and the evacuation of its
    availability zone. In both cases work without keys is refused at once, so
    that it is routed elsewhere, and the keys are transferred and served until
    then. An evacuation has a deadline after which the server gets no work.

    When the evacuation is revoked, the server may have lost its in-memory
    state, so it is asked for its state before it gets its share of the load.
    """

    __slots__ = (
        '_async_identify_server',
        '_balance',
        '_close_timer',
        '_evacuate_s',
        '_is_evacuated',
        '_is_evacuation_requested',
        '_is_drain_requested',
        '_log',
        '_may_acquire_keys',
        '_return_task',
        '_server_path',
        '_supervisor',
        '_zone',
    )

    def __init__(
        self,
        server_path: ServerPath,
        balance: BalanceCoordinator,
        async_identify_server: Callable[[], Awaitable[None]],
        may_acquire_keys: Callable[[], bool],
        zone: str,
        evacuate_s: float,
        supervisor: Supervisor,
        log: EventLog,
    ) -> None:
        """Start in service, in a zone evacuated within ``evacuate_s``."""
        self._server_path = server_path
        self._balance = balance
        self._async_identify_server = async_identify_server
        self._may_acquire_keys = may_acquire_keys
        self._zone = zone
        self._evacuate_s = evacuate_s
        self._supervisor = supervisor
        self._log = log
        self._is_drain_requested = False
        self._is_evacuated = False
        self._is_evacuation_requested = False
        self._close_timer: asyncio.TimerHandle | None = None
        self._return_task: asyncio.Task[None] | None = None

    def on_desired_state(self, desired: DesiredState) -> None:
        """Apply the state that an operator requested for the local server."""
        is_drain_requested = desired.state is not TargetState.SERVE
        if is_drain_requested == self._is_drain_requested:
            return
        self._is_drain_requested = is_drain_requested
        self._log.write(
            'wish-followed',
            state=desired.state,
            command=desired.command_id,
            operator=desired.operator,
            version=desired.version,
        )
        self._update()

    def on_evacuations(self, zones: frozenset[str], is_new: bool) -> None:
        """Apply the set of evacuated zones.

        Without ``is_new`` the evacuation may have been requested long ago, so
        the server gets no more work at once.
        """
        is_evacuated = self._zone in zones
        if is_evacuated == self._is_evacuation_requested:
            return
        self._is_evacuation_requested = is_evacuated
        self.stop()
        if is_evacuated:
            self._is_evacuated = True
            left_s = self._evacuate_s * CLOSE_FRACTION if is_new else 0.0
            self._log.write('zone-evacuated', left_s=left_s)
            loop = asyncio.get_running_loop()
            self._close_timer = loop.call_later(left_s, self._close)
            self._update()
        else:
            self._return_task = self._supervisor.start(
                'zone-return', self._async_return
            )

    def stop(self) -> None:
        """Cancel the pending timer and task."""
        if self._close_timer is not None:
            self._close_timer.cancel()
        if self._return_task is not None:
            self._return_task.cancel()

    def _close(self) -> None:
        self._server_path.is_evacuated = True
        self._log.write('server-closed-off')

    async def _async_return(self) -> None:
        await self._async_identify_server()
        self._is_evacuated = False
        self._server_path.is_evacuated = False
        self._log.write('zone-returned')
        self._update()

    def _update(self) -> None:
        is_drained = self._is_drain_requested or self._is_evacuated
        if is_drained == self._balance.is_drained:
            return
        self._server_path.is_drained = is_drained
        self._balance.is_drained = is_drained
        if is_drained:
            self._balance.leave()
        elif self._may_acquire_keys():
            self._balance.resume()
