"""Faulty servers refuse requests, and send some answers a second time late."""

import asyncio
import random

from review.common.cluster import Cluster, Machine, config, route
from review.common.load import async_send_steadily
from review.common.main import run
from review.common.record import Sent

KEYED = {'cases'}
ROUTES = {'lodge': route('/lodge/', 'cases', 'unsafe')}
MACHINES = 10
PER_MACHINE_S = 16.0
KEYS = 65536
ROUNDS = 4
# Lengths and shares stay within what the site file has for these disruptions.
FAULTY_S = 5.0
FAULTY_SHARE = 0.6
EXTRA_LATE_SHARE = 0.03
SHED_SHARE = 0.2
CALM_S = 7.0
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))


async def async_play(cluster: Cluster, has_trouble: bool) -> list[str]:
    """Send requests steadily while the servers turn faulty several times."""
    await cluster.async_start(config(1, ROUTES, KEYED, set()))
    await asyncio.sleep(5.0)

    def send(machine: Machine):
        return cluster.async_request(
            machine,
            'POST',
            '/lodge/new',
            is_idempotent=False,
            key=random.randrange(KEYS),
        )

    lasts_s = ROUNDS * (CALM_S + FAULTY_S) + CALM_S
    load = asyncio.create_task(
        async_send_steadily(
            cluster, cluster.machines, PER_MACHINE_S, lasts_s, send
        )
    )
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        set_faults(cluster, is_faulty=has_trouble)
        await asyncio.sleep(FAULTY_S)
        set_faults(cluster, is_faulty=False)
    await load
    await asyncio.sleep(1.0)
    return [
        line for sent in cluster.record.sent for line in judge(cluster, sent)
    ]


def set_faults(cluster: Cluster, *, is_faulty: bool) -> None:
    """Make the servers faulty, or sound again."""
    affected = round(FAULTY_SHARE * len(cluster.servers))
    for number, server in enumerate(cluster.servers):
        is_affected = is_faulty and number < affected
        server.faults.shed = SHED_SHARE if is_affected else 0.0
        server.faults.extra_late = EXTRA_LATE_SHARE if is_affected else 0.0
    cluster.record.write('faults', servers=affected if is_faulty else 0)


def judge(cluster: Cluster, sent: Sent) -> list[str]:
    """Return what is wrong with a request that may run at most once."""
    runs = cluster.record.runs[sent.attempt]
    lines = []
    if runs > 1:
        lines.append(
            f'TWICE: {sent.attempt} ran {runs} times, answer {sent.status}'
        )
    if runs and sent.status in PROMISES_NOT_RUN:
        lines.append(
            f'REFUSED: {sent.attempt} answered {sent.status}, ran {runs} times'
        )
    return lines


if __name__ == '__main__':
    run(
        Cluster(['cases'] * MACHINES, KEYED),
        async_play,
        __file__.rpartition('/')[0],
    )
