"""A worker sends bytes late after a few of its complete answers."""

import asyncio
from collections import Counter
from pathlib import Path

from review.lab2.deployment import (
    Connection,
    Deployment,
    ask,
    now,
    route,
)

LIMIT_MS = 2500
# One in forty answers is followed by other bytes: 2.5 %.
EVERY = 40
FAULT_S = 5.0
CLIENTS = 2
ROUTES = {
    'once': route('/pufi/', 'leasing', 'unsafe'),
    'read': route('/lohu/', 'booking', 'safe'),
}


async def play(kind: str, trouble: bool, record: Path) -> Deployment:
    """Send requests that must run once while one of three workers garbles.

    Return the deployment, whose record has all that was sent, run and answered.
    """
    services = [
        'leasing',
        'booking',
        'leasing',
        'booking',
        'leasing',
        'booking',
    ]
    with Deployment(services, {'booking'}, record) as deployment:
        deployment.start_store()
        await deployment.wait_store()
        await deployment.configure(1, ROUTES)
        for number, machine in enumerate(deployment.machines):
            flags = []
            if trouble and not number:
                flags = [f'--extra={kind}', f'--extra-every={EVERY}']
            deployment.start_worker(machine, *flags)
            deployment.start_router(machine)
        first = deployment.machines[0]

        async def is_served() -> bool:
            connection = Connection(first.at('callers'))
            try:
                _, answer = await ask(
                    deployment, connection, 'POST', '/pufi/ready', LIMIT_MS
                )
            finally:
                connection.close()
            return answer.status == 200

        await deployment.wait_ready(is_served)
        ends = now() + FAULT_S
        await asyncio.gather(
            *(
                _send(deployment, machine.at('callers'), ends)
                for machine in deployment.machines
                for _ in range(CLIENTS)
            )
        )
        # Whatever still runs ends within the time limit.
        await asyncio.sleep(1.0)
    return deployment


async def _send(deployment: Deployment, address: str, ends: float) -> None:
    connection = Connection(address)
    number = 0
    while now() < ends:
        number += 1
        body = f'order {number}'.encode()
        await ask(
            deployment,
            connection,
            'POST',
            f'/pufi/{number}',
            LIMIT_MS,
            body=body,
        )
        await asyncio.sleep(0.005)
    connection.close()


def runs_by_request(deployment: Deployment) -> Counter:
    """Return how often workers began to work on each request."""
    return Counter(
        each['request']
        for each in deployment.events()
        if each['event'] == 'runs'
    )


def answers(deployment: Deployment) -> list[dict]:
    """Return the answers that clients got."""
    return [each for each in deployment.events() if each['event'] == 'answer']
