"""Plot the worth of played days, and print their largest losses.

Reads all entries of ``journal/``, so the plot includes failed trials. Writes
``docs/figures/worth.png`` and a table to standard output.
"""

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / 'journal'
PLOT = ROOT / 'docs' / 'figures' / 'worth.png'
STANDARD_DAYS = (
    'quiet-1',
    'trouble-1',
    'scale-1',
    'trouble-2',
    'scale-2',
    'trouble-3',
)
COLUMNS = 2
ROW_INCHES = 2.6
WIDTH_INCHES = 10
LOSSES_SHOWN = 2


@dataclass(slots=True, frozen=True)
class DayRun:
    """One run of a standard day."""

    at: str
    why: str
    worth: float
    is_broken: bool
    losses: tuple[tuple[str, float], ...]


def read_runs() -> dict[tuple[str, str], list[DayRun]]:
    """Return runs of the standard days by site and day, oldest first."""
    runs_by_day: dict[tuple[str, str], list[DayRun]] = defaultdict(list)
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text())
        for day in entry['days']:
            if day['name'] not in STANDARD_DAYS or day['G'] is None:
                continue
            name = (entry['site'], day['name'])
            runs_by_day[name].append(_read_run(entry, day))
    return dict(sorted(runs_by_day.items()))


def _read_run(entry: dict, day: dict) -> DayRun:
    losses = sorted(
        ((name, share) for name, _, share in day['prices']),
        key=lambda loss: -loss[1],
    )
    return DayRun(
        entry['at'][0],
        entry['why'],
        day['G'],
        bool(day['rules']),
        tuple(losses[:LOSSES_SHOWN]),
    )


def draw(runs_by_day: dict[tuple[str, str], list[DayRun]]) -> None:
    """Plot the worth by run for each day; mark runs that broke a rule."""
    rows = -(-len(runs_by_day) // COLUMNS)
    figure, panels = pyplot.subplots(
        rows,
        COLUMNS,
        figsize=(WIDTH_INCHES, ROW_INCHES * rows),
        squeeze=False,
        sharey=True,
    )
    flat = [panel for row in panels for panel in row]
    for panel, (name, runs) in zip(flat, runs_by_day.items(), strict=False):
        worth_by_run = [run.worth for run in runs]
        panel.plot(range(len(worth_by_run)), worth_by_run, marker='.')
        broken = [place for place, run in enumerate(runs) if run.is_broken]
        panel.plot(broken, [worth_by_run[place] for place in broken], 'rx')
        panel.set_title(' '.join(name))
        panel.set_ylabel('worth')
    for panel in flat[len(runs_by_day) :]:
        panel.set_axis_off()
    figure.supxlabel('play, in the order played; x: a rule was broken')
    figure.tight_layout()
    PLOT.parent.mkdir(exist_ok=True)
    figure.savefig(PLOT)


def main() -> None:
    """Write the plot and the table of the newest runs."""
    runs_by_day = read_runs()
    draw(runs_by_day)
    print('| site | day | first | newest | largest losses of the newest |')
    print('| --- | --- | --- | --- | --- |')
    for (site, day), runs in runs_by_day.items():
        newest = runs[-1]
        losses = ', '.join(
            f'{name} {share:.3f}' for name, share in newest.losses
        )
        print(
            f'| {site} | {day} | {runs[0].worth:.3f} | {newest.worth:.3f} '
            f'| {losses} |'
        )


if __name__ == '__main__':
    main()
