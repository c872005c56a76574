"""Draw worth and its largest losses by played day and round.

Reads the entries of ``journal/`` as they were written, so a figure shows failed
trials too. Writes ``docs/figures/worth.png`` and a table to standard output.
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
PICTURE = ROOT / 'docs' / 'figures' / 'worth.png'
STANDARD = (
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
class Play:
    """One standard day as it was played once."""

    at: str
    why: str
    worth: float
    is_broken: bool
    losses: tuple[tuple[str, float], ...]


def read_plays() -> dict[tuple[str, str], list[Play]]:
    """Return the plays of each standard day by site and day, oldest first."""
    plays_by_day: dict[tuple[str, str], list[Play]] = defaultdict(list)
    for path in sorted(JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text())
        for day in entry['days']:
            if day['name'] not in STANDARD or day['G'] is None:
                continue
            name = (entry['site'], day['name'])
            plays_by_day[name].append(_play(entry, day))
    return dict(sorted(plays_by_day.items()))


def _play(entry: dict, day: dict) -> Play:
    losses = sorted(
        ((name, share) for name, _, share in day['prices']),
        key=lambda loss: -loss[1],
    )
    return Play(
        entry['at'][0],
        entry['why'],
        day['G'],
        bool(day['rules']),
        tuple(losses[:LOSSES_SHOWN]),
    )


def draw(plays_by_day: dict[tuple[str, str], list[Play]]) -> None:
    """Draw a panel for each day: worth by play, broken days marked."""
    rows = -(-len(plays_by_day) // COLUMNS)
    figure, panels = pyplot.subplots(
        rows,
        COLUMNS,
        figsize=(WIDTH_INCHES, ROW_INCHES * rows),
        squeeze=False,
        sharey=True,
    )
    flat = [panel for row in panels for panel in row]
    for panel, (name, plays) in zip(flat, plays_by_day.items(), strict=False):
        worths = [play.worth for play in plays]
        panel.plot(range(len(worths)), worths, marker='.')
        broken = [place for place, play in enumerate(plays) if play.is_broken]
        panel.plot(broken, [worths[place] for place in broken], 'rx')
        panel.set_title(' '.join(name))
        panel.set_ylabel('worth')
    for panel in flat[len(plays_by_day) :]:
        panel.set_axis_off()
    figure.supxlabel('play, in the order played; x: a rule was broken')
    figure.tight_layout()
    PICTURE.parent.mkdir(exist_ok=True)
    figure.savefig(PICTURE)


def main() -> None:
    """Write the picture and the table of newest plays."""
    plays_by_day = read_plays()
    draw(plays_by_day)
    print('| site | day | first | newest | largest losses of the newest |')
    print('| --- | --- | --- | --- | --- |')
    for (site, day), plays in plays_by_day.items():
        newest = plays[-1]
        losses = ', '.join(
            f'{name} {share:.3f}' for name, share in newest.losses
        )
        print(
            f'| {site} | {day} | {plays[0].worth:.3f} | {newest.worth:.3f} '
            f'| {losses} |'
        )


if __name__ == '__main__':
    main()
