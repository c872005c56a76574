"""Write days of configuration changes among restarts and faults, by seed.

Each day is a file of its own. A day has changes of all kinds, some in quick
succession and some large, planned restarts, and faults of processes, the store,
clocks and links, so that changes meet processes that have just started.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click

# Seconds from the start of traffic in which something may begin.
FIRST_S = 4.0
LAST_S = 27.0
MIN_CHANGES, MAX_CHANGES = 4, 9
MIN_FAULTS, MAX_FAULTS = 1, 4
RESTART_SHARE = 0.7
SHARES = (0.1, 0.2, 0.3, 0.5)
CHANGES = ('route', 'route', 'timeout', 'weights', 'idle')

Fields = dict[str, float | int | str]


@dataclass(slots=True, frozen=True)
class RandomDay:
    """Entries of one day, each with its kind and its time in seconds."""

    name: str
    plan: list[Fields]
    faults: list[Fields]

    @classmethod
    def from_seed(cls, seed: int) -> 'RandomDay':
        """Draw a day; the same seed draws the same day."""
        draw = random.Random(seed)
        plan = [
            _draw_change(draw)
            for _ in range(draw.randint(MIN_CHANGES, MAX_CHANGES))
        ]
        if draw.random() < RESTART_SHARE:
            plan.append(_draw_restart(draw))
        faults = [
            {'at': _draw_time(draw), **draw.choice(FAULTS)(draw)}
            for _ in range(draw.randint(MIN_FAULTS, MAX_FAULTS))
        ]
        return cls(f'changes-{seed}', plan, faults)

    def to_toml(self) -> str:
        """Return the day as a table of an array of days."""
        lines = ['[[day]]', f'name = "{self.name}"']
        lines.extend(_format_entries('plan', self.plan))
        lines.extend(_format_entries('faults', self.faults))
        return '\n'.join((*lines, ''))


def _draw_time(draw: random.Random) -> float:
    return round(draw.uniform(FIRST_S, LAST_S), 2)


def _draw_change(draw: random.Random) -> Fields:
    at = _draw_time(draw)
    match draw.randrange(5):
        case 0:
            return {
                'at': at,
                'kind': 'config_storm',
                'gap_s': round(draw.uniform(0.3, 1.0), 2),
                'count': draw.randint(3, 12),
            }
        case 1:
            return {
                'at': at,
                'kind': 'big_config',
                'count': draw.choice((30, 80, 200)),
            }
        case _:
            how = draw.choice(CHANGES)
            return {'at': at, 'kind': 'config_change', 'how': how}


def _draw_restart(draw: random.Random) -> Fields:
    return {
        'at': _draw_time(draw),
        'kind': 'roll_term',
        'share': draw.choice((0.3, 0.5, 1.0)),
        'x': draw.choice((1.0, 2.0)),
        'gap_s': draw.choice((0.5, 1.0)),
    }


def _draw_kill(draw: random.Random) -> Fields:
    return {
        'kind': 'node_kill',
        'share': draw.choice(SHARES),
        'for_s': _draw_duration(draw),
        'how': draw.choice(('', 'race', 'meet', 'leader')),
    }


def _draw_kill_all(draw: random.Random) -> Fields:
    return {'kind': 'herd_kill', 'share': draw.choice((0.3, 0.6, 1.0))}


def _draw_reload(draw: random.Random) -> Fields:
    share = draw.choice(SHARES)
    return {'kind': 'hup', 'share': share, 'gap_s': draw.choice((0.2, 0.5))}


def _draw_resets(draw: random.Random) -> Fields:
    return {'kind': 'reset_conns', 'share': draw.choice(SHARES), 'x': 0.5}


def _draw_clock_step(draw: random.Random) -> Fields:
    return {
        'kind': 'clock_step',
        'share': draw.choice(SHARES),
        'x': draw.choice((1000.0, 2000.0, 4000.0)),
        'for_s': _draw_duration(draw),
        'how': draw.choice(('ahead', 'back')),
    }


def _draw_store_outage(draw: random.Random) -> Fields:
    how = draw.choice(('silent', 'busy', 'reset', 'nodes'))
    kind: Fields = {'kind': 'platform_down', 'how': how}
    if how == 'nodes':
        kind['share'] = draw.choice(SHARES)
    return {**kind, 'for_s': round(draw.uniform(1.0, 4.0), 2)}


def _draw_slow_store(draw: random.Random) -> Fields:
    return {
        'kind': 'platform_slow',
        'x': draw.choice((20.0, 50.0)),
        'for_s': _draw_duration(draw),
    }


def _draw_lost_answers(draw: random.Random) -> Fields:
    return {
        'kind': 'platform_lost',
        'x': draw.choice((0.2, 0.5)),
        'for_s': _draw_duration(draw),
        'how': draw.choice(('', 'late')),
    }


def _draw_lost_history(draw: random.Random) -> Fields:
    return {'kind': 'platform_compact', 'for_s': _draw_duration(draw)}


def _draw_lossy_link(draw: random.Random) -> Fields:
    return {
        'kind': 'lossy',
        'x': draw.choice((0.03, 0.1)),
        'for_s': _draw_duration(draw),
    }


def _draw_cut(draw: random.Random) -> Fields:
    kind = draw.choice(('core_cut', 'node_cut'))
    amount: Fields = {'count': 1} if kind == 'core_cut' else {'share': 0.2}
    how = draw.choice(('', 'reset', 'refuse'))
    return {'kind': kind, **amount, 'for_s': _draw_duration(draw), 'how': how}


def _draw_pause(draw: random.Random) -> Fields:
    return {
        'kind': 'node_freeze',
        'share': draw.choice(SHARES),
        'for_s': round(draw.uniform(0.5, 3.0), 2),
    }


def _draw_power_loss(draw: random.Random) -> Fields:
    return {
        'kind': 'after_ack_kill',
        'for_s': round(draw.uniform(1.0, 4.0), 2),
        'how': draw.choice(('', 'kill', 'timed')),
    }


def _draw_duration(draw: random.Random) -> float:
    return round(draw.uniform(1.5, 6.0), 2)


FAULTS: tuple[Callable[[random.Random], Fields], ...] = (
    _draw_kill,
    _draw_kill,
    _draw_kill_all,
    _draw_reload,
    _draw_resets,
    _draw_clock_step,
    _draw_store_outage,
    _draw_slow_store,
    _draw_lost_answers,
    _draw_lost_history,
    _draw_lossy_link,
    _draw_cut,
    _draw_pause,
    _draw_power_loss,
)


def _format_entries(name: str, entries: list[Fields]) -> list[str]:
    inside = [f'  {{ {_format_fields(entry)} }},' for entry in entries]
    return [f'{name} = [', *inside, ']']


def _format_fields(entry: Fields) -> str:
    pairs = (
        f'{name} = "{field}"' if isinstance(field, str) else f'{name} = {field}'
        for name, field in entry.items()
    )
    return ', '.join(pairs)


@click.command()
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--count', type=int, default=1, show_default=True)
@click.argument('folder', type=click.Path(file_okay=False, path_type=Path))
def main(seed: int, count: int, folder: Path) -> None:
    """Write one file a day into FOLDER, for seeds from --seed on."""
    folder.mkdir(parents=True, exist_ok=True)
    for each in range(seed, seed + count):
        day = RandomDay.from_seed(each)
        (folder / f'{day.name}.toml').write_text(day.to_toml())


if __name__ == '__main__':
    main()
