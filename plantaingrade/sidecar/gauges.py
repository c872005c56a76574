"""Figures of one process that are read when they are asked for."""

from msgspec import Struct

from plantaingrade.admission.slots import SlotQueue
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.holds.registry import Registry
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.sidecar.figures import Figures


class Watched(Struct, frozen=True):
    """Parts of a process whose state is shown."""

    queue: SlotQueue
    balance: BalanceCoordinator
    config: ConfigFollower
    registry: Registry
    server_path: ServerPath
    clock: Clock


def watch(figures: Figures, parts: Watched) -> None:
    """Show the state of a process beside what it counts."""
    queue, registry, clock = parts.queue, parts.registry, parts.clock
    show = figures.watch
    show('slots_running', 'Requests at the server.', lambda: queue.running)
    show('slots_waiting', 'Requests in the queue.', lambda: queue.waiting)
    show(
        'load_share',
        'Work asked for, as a share of the slots.',
        lambda: parts.balance.load().share,
    )
    show(
        'server_cold',
        'Whether the server is cold, and gets less for it.',
        lambda: queue.cold.is_limited(clock.now()),
    )
    show(
        'server_evacuated',
        'Whether nothing goes to the server, as its zone is evacuated.',
        lambda: parts.server_path.is_evacuated,
    )
    show(
        'config_version',
        'Version of the configuration in force.',
        lambda: parts.config.version,
    )
    show(
        'lease_left_seconds',
        'Time left of the own lease.',
        lambda: registry.lease_until - clock.now(),
    )
