"""A configuration adds routes with prefixes that begin with ``/-/``."""

import asyncio

from review.common.cluster import Cluster, config, route
from review.common.main import run
from review.common.record import Sent

PLAIN = {'front', 'letters'}
# A change has to be in force everywhere after this time.
CONFIG_APPLY_S = 2.5
ROUNDS = 10
ROUTES = {'letters': route('/letters/', 'letters', 'safe')}
ADDED = {
    **ROUTES,
    'board': route('/-/', 'letters', 'safe'),
    'pins': route('/-/map/', 'letters', 'unsafe'),
}
SENT_AFTERWARDS = (
    ('GET', '/-/config'),
    ('GET', '/-/wish'),
    ('GET', '/-/letters/7'),
    ('POST', '/-/map/oslo'),
)


async def async_play(cluster: Cluster, has_trouble: bool) -> list[str]:
    """Send the same requests with or without the change before them."""
    await cluster.async_start(config(1, ROUTES, set(), PLAIN))
    await asyncio.sleep(CONFIG_APPLY_S)
    await async_send(cluster, 'GET', '/letters/config')
    if has_trouble:
        await cluster.async_configure(config(2, ADDED, set(), PLAIN))
    await asyncio.sleep(2 * CONFIG_APPLY_S)
    for method, path in SENT_AFTERWARDS:
        await async_send(cluster, method, path)
    return [
        f'MIXED: {sent.method} {sent.path} ({sent.attempt}): {sent.status},'
        f' stamp {sent.stamp!r}, runs {cluster.record.runs[sent.attempt]},'
        f' body {sent.body[:40]!r}'
        for sent in cluster.record.sent
        if is_mixed(cluster, sent)
    ]


async def async_send(cluster: Cluster, method: str, path: str) -> None:
    """Send a request some times at each machine of another service."""
    for _ in range(ROUNDS):
        for machine in cluster.machines:
            if machine.service == 'front':
                await cluster.async_request(
                    machine, method, path, is_idempotent=method == 'GET'
                )


def is_mixed(cluster: Cluster, sent: Sent) -> bool:
    """Return whether a client got a success that no server gave."""
    if sent.status is None or not 200 <= sent.status < 300:
        return False
    is_whole = sent.body == f'done {sent.attempt}'.encode()
    return not (sent.stamp and is_whole and cluster.record.runs[sent.attempt])


if __name__ == '__main__':
    services = ['front', 'front', 'letters', 'letters', 'letters']
    run(Cluster(services, set()), async_play, __file__.rpartition('/')[0])
