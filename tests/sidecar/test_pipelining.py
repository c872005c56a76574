"""Pipelined requests of callers through whole processes."""

import asyncio
import json
import os
from dataclasses import replace
from itertools import repeat

from tests.sidecar.harness import HOST, KEYED, Harness, run_scenario

LINES_BYTES = 1_000_000


def raw_request(request_id: str, path: str, deadline_ms: int = 8000) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n'
        f'Deadline-Ms: {deadline_ms}\r\nShard-Key: 5\r\n\r\n'
    ).encode()


async def async_exchange(harness: Harness, *requests: bytes) -> list[bytes]:
    """Send requests at once on one connection; return their answers."""
    host, port = harness.nodes[0].callers.split(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b''.join(requests))
    answers = []
    for _ in requests:
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().partition(b'content-length: ')[2].split()[0])
        answers.append(head + await reader.readexactly(length))
    writer.close()
    return answers


def test_pipelined_look_ups_run_at_once_and_a_booking_in_turn() -> None:
    """Look-ups sent at once must not take as long as one after the other."""

    async def scenario(harness: Harness) -> None:
        server = harness.nodes[0].server
        server.plan = replace(server.plan, work_s=0.2)
        # A server that has answered nothing yet gets fewer requests at once.
        await harness.async_ask(harness.nodes[0], '/read/1', 'w', 5)
        names = [f'r{number}' for number in range(6)]
        paths = [*repeat('/read/1', 4), '/cases/1', '/read/1']
        pipe = os.pipe()
        os.set_blocking(pipe[1], False)
        harness._log._fd = pipe[1]
        answers = await async_exchange(harness, *map(raw_request, names, paths))
        for name, answer in zip(names, answers, strict=True):
            assert answer.startswith(b'HTTP/1.1 200')
            assert answer.endswith(f'done {name}'.encode())
        began, ended = {}, {}
        for each in harness.record.runs:
            began[each.request_id] = each.began
            ended[each.request_id] = each.ended
        assert max(began[name] for name in names[:4]) < ended['r0']
        assert began['r4'] >= max(ended[name] for name in names[:4])
        assert began['r5'] >= ended['r4']
        lines = map(json.loads, os.read(pipe[0], LINES_BYTES).splitlines())
        ahead = {
            line['id']: line.get('ahead')
            for line in lines
            if line['event'] == 'request'
        }
        assert ahead == dict(zip(names, [None, 1, 2, 3, 4, 5], strict=True))

    run_scenario(74, (KEYED,), scenario)
