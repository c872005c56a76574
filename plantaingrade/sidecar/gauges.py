"""Gauges of one process, read at each scrape."""

from collections.abc import Callable, Sized

from msgspec import Struct

from plantaingrade.admission.server_bytes import ServerBytes
from plantaingrade.admission.server_limits import ServerLimits
from plantaingrade.admission.slots import SlotQueue
from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.holds.registry import Registry
from plantaingrade.http.pipeline import EarlyTotals
from plantaingrade.peers.map_turns import MapTurns
from plantaingrade.requests.held_bytes import Side
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.sidecar.instance_bytes import InstanceBytes
from plantaingrade.sidecar.metrics import Metrics


class GaugeSources(Struct, frozen=True):
    """Parts of a process whose state is exposed as gauges."""

    queue: SlotQueue
    balance: BalanceCoordinator
    config: ConfigFollower
    registry: Registry
    server_path: ServerPath
    map_turns: MapTurns
    held: InstanceBytes
    early: EarlyTotals
    failing_tasks: Callable[[], Sized]
    clock: Clock


def register_gauges(metrics: Metrics, parts: GaugeSources) -> None:
    """Register the gauges of a process."""
    _register_limits(metrics, parts.queue.limits, parts.clock)
    _register_bytes(metrics, parts.held, parts.early)
    _register_keys(metrics, parts)
    _register_following(metrics, parts)
    queue = parts.queue
    register = metrics.register_gauge
    register('slots_running', 'Requests at the server.', lambda: queue.running)
    register('slots_waiting', 'Requests in the queue.', lambda: queue.waiting)
    register(
        'load_share',
        'Work asked for, as a share of the slots.',
        lambda: parts.balance.load().share,
    )
    register(
        'server_evacuated',
        'Whether nothing goes to the server, as its zone is evacuated.',
        lambda: parts.server_path.is_evacuated,
    )


def _register_following(metrics: Metrics, parts: GaugeSources) -> None:
    register = metrics.register_gauge
    register(
        'config_version',
        'Version of the configuration in force.',
        lambda: parts.config.version,
    )
    register(
        'tasks_failing',
        'Background tasks that failed and have not proven sound since.',
        lambda: len(parts.failing_tasks()),
    )


def _register_keys(metrics: Metrics, parts: GaugeSources) -> None:
    registry, map_turns, clock = parts.registry, parts.map_turns, parts.clock
    register = metrics.register_gauge
    register(
        'lease_left_seconds',
        'Time left of the own lease.',
        lambda: registry.lease_until - clock.now(),
    )
    register(
        'turns_taken',
        'Turns to change the key map that this process was granted.',
        lambda: map_turns.taken,
    )
    register(
        'turns_unanswered',
        'Turns to change the key map that nobody granted in time.',
        lambda: map_turns.unanswered,
    )
    register(
        'turns_wait_seconds',
        'Total wait for turns to change the key map.',
        lambda: map_turns.waited_s,
    )
    register(
        'turns_lapsed',
        'Turns granted by this process that were not returned in time.',
        lambda: map_turns.granter.lapsed,
    )


def _register_read_ahead(metrics: Metrics, early: EarlyTotals) -> None:
    register = metrics.register_gauge
    register(
        'requests_read_ahead',
        'Pipelined requests that began before their turn.',
        lambda: early.requests,
    )
    register(
        'answers_held_bytes',
        'Bytes of answers to pipelined requests whose turn is not yet.',
        lambda: early.held_bytes,
    )


def _register_limits(
    metrics: Metrics, limits: ServerLimits, clock: Clock
) -> None:
    _register_server_bytes(metrics, limits.memory, clock)
    register = metrics.register_gauge
    register(
        'server_cold',
        'Whether the server is cold, and gets less for it.',
        lambda: limits.cold.is_limited(clock.now()),
    )
    register(
        'server_limit_in_force',
        'Whether the server names a rate limit.',
        lambda: limits.named.per_s is not None,
    )
    register(
        'server_limit_per_second',
        'Requests that the server accepts per second; 0 without a limit.',
        lambda: limits.named.per_s or 0.0,
    )


def _register_bytes(
    metrics: Metrics, held: InstanceBytes, early: EarlyTotals
) -> None:
    _register_read_ahead(metrics, early)
    register = metrics.register_gauge
    budget = held.budget
    body_turns = held.body_turn_gate.turns
    register(
        'turns_arriving_bytes',
        'Bytes of long bodies of other processes that are on their way.',
        lambda: body_turns.arriving_bytes,
    )
    register(
        'turns_waiting',
        'Long bodies of other processes that wait for their turn.',
        lambda: body_turns.waiting,
    )
    register(
        'held_bytes_callers',
        'Bytes of requests and unread answers of callers.',
        lambda: budget.held.held_by(Side.CALLERS),
    )
    register(
        'held_bytes_peers',
        'Bytes of requests and unread answers of other processes.',
        lambda: budget.held.held_by(Side.PEERS),
    )
    register(
        'held_bytes_peak',
        'Most bytes held at a time since the start.',
        lambda: budget.held.peak_bytes,
    )
    register(
        'held_bytes_limit', 'Bytes that may be held.', lambda: budget.limit
    )


def _register_server_bytes(
    metrics: Metrics, memory: ServerBytes, clock: Clock
) -> None:
    register = metrics.register_gauge
    register(
        'server_bytes_running',
        'Bytes of requests at the server.',
        lambda: memory.running,
    )
    register(
        'server_bytes_limit',
        'Bytes that the server gets at a time, learned from a crash; 0 if not.',
        lambda: memory.limit_at(clock.now()) or 0.0,
    )
