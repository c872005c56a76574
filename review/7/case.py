"""Work is cut off by a process that stops while the store is away."""

import asyncio
import signal
from collections import Counter
from pathlib import Path

from review.lab2.deployment import (
    CannotRunError,
    Connection,
    Deployment,
    Machine,
    ask,
    main,
    now,
    route,
)

LIMIT_MS = 8000
GRACE_S = 6.0
AWAY_S = 8.0
# From the beginning of the store's outage to the first SIGTERM.
FIRST_S = 1.0
GAP_S = 1.3
# After the second SIGTERM: within the 3 s that a process may still be asked.
ASKED_S = (1.9, 2.0, 2.1, 2.2)
WORK_MS = 2400
ROUTES = {
    'correction': route(
        '/pufi/',
        'portal',
        'unsafe',
        timeout='8000ms',
        targetLatency='1200ms',
    ),
    'history': route('/lohu/', 'registos', 'safe', timeout='25000ms'),
}


async def check(trouble: bool, record: Path) -> list[str]:
    services = ['portal', 'portal', 'registos'] * 3
    with Deployment(services, {'portal'}, record) as deployment:
        deployment.start_store()
        await deployment.wait_store()
        await deployment.configure(1, ROUTES)
        for machine in deployment.machines:
            deployment.start_worker(machine, '--slots=9')
            deployment.start_router(machine)
        await deployment.wait_ready(lambda: _is_served(deployment))
        load = asyncio.create_task(_send_usual(deployment))
        await asyncio.sleep(4.0)
        if trouble:
            await deployment.fault(outage='silent')
            deployment.write('store-away')
        began = now()
        first, second = deployment.machines[0], deployment.machines[8]
        keys = _keys_of(deployment, first)
        await asyncio.sleep(FIRST_S)
        _stop(deployment, first)
        await asyncio.sleep(GAP_S)
        stopped = now()
        _stop(deployment, second)
        asked = [
            asyncio.create_task(
                _ask_at(deployment, second, key, stopped + at_s)
            )
            for at_s, key in zip(ASKED_S, keys, strict=True)
        ]
        await asyncio.sleep(max(0.0, began + AWAY_S - now()))
        if trouble:
            await deployment.fault(outage='none')
            deployment.write('store-back')
        idents = [await each for each in asked]
        load.cancel()
        # A worker whose caller has left ends its work.
        await asyncio.sleep(WORK_MS / 1000)
    return _judge(deployment, idents)


def _stop(deployment: Deployment, machine: Machine) -> None:
    deployment.stop(machine.name, signal.SIGTERM)
    deployment.write('SIGTERM', machine=machine.name)


def _keys_of(deployment: Deployment, machine: Machine) -> list[int]:
    """Return keys that a machine's worker was granted last."""
    taken = [each for each in deployment.events() if each['event'] == 'taken']
    name = f'worker-{machine.name}'
    for each in reversed(taken):
        if each['who'] == name:
            return [each['first'] + 10 * step for step in range(len(ASKED_S))]
    raise CannotRunError('the first machine holds no keys')


async def _is_served(deployment: Deployment) -> bool:
    connection = Connection(deployment.machines[2].at('callers'))
    try:
        answers = [
            await ask(
                deployment, connection, 'POST', '/pufi/ready', LIMIT_MS, key
            )
            for key in (1, 20_000, 40_000, 65_000)
        ]
    finally:
        connection.close()
    return all(answer.status == 200 for _, answer in answers)


async def _send_usual(deployment: Deployment) -> None:
    """Send brief requests at a machine that isn't stopped."""
    connection = Connection(deployment.machines[5].at('callers'))
    number = 0
    while True:
        number += 1
        key = number * 4099 % 65_536
        await ask(deployment, connection, 'POST', '/pufi/1', LIMIT_MS, key)
        await asyncio.sleep(0.05)


async def _ask_at(
    deployment: Deployment, machine: Machine, key: int, at: float
) -> str:
    await asyncio.sleep(max(0.0, at - now()))
    connection = Connection(machine.at('callers'))
    ident, _ = await ask(
        deployment, connection, 'POST', f'/pufi/work-{WORK_MS}', LIMIT_MS, key
    )
    connection.close()
    return ident


def _judge(deployment: Deployment, idents: list[str]) -> list[str]:
    events = deployment.events()
    signals = {e['machine']: e['t'] for e in events if e['event'] == 'SIGTERM'}
    stopped = signals[deployment.machines[8].name]
    told = {e['request']: e for e in events if e['event'] == 'answer'}
    runs = {e['request']: e for e in events if e['event'] == 'runs'}
    broken_off = {e['request'] for e in events if e['event'] == 'broken-off'}
    print('answers', dict(Counter(told[each]['status'] for each in idents)))
    if any(told[each]['sent'] > stopped + 3.0 for each in idents):
        raise CannotRunError('a request was sent too late')
    broken = []
    for ident in idents:
        answer = told[ident]
        if answer['status'] == 200 or ident not in runs:
            continue
        at_s = answer['t'] - stopped
        is_excused = at_s >= GRACE_S * 5 / 6
        if ident in broken_off and not is_excused:
            broken.append(
                f'LOST: request {ident}, sent {answer["sent"] - stopped:.2f} s '
                f'after the SIGTERM of the machine that took it, ran at '
                f'{runs[ident]["who"]} and was broken off; its client got '
                f'{answer["status"]} {at_s:.2f} s after that SIGTERM'
            )
    return broken


if __name__ == '__main__':
    main(check, Path(__file__).with_name('record.txt'))
