"""Rows of another writer among those of the members."""

import json

from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import TABLE, member_row
from plantaingrade.peers.entity import Member
from tests.malformed import BAD_BODIES, ODD_ADDRESSES
from tests.sidecar.harness import KEYED, PLAIN, Harness, Node, run_scenario

LEASE_S = 3600.0
ODD_TIMES = (
    b'1e400',
    b'-1e400',
    b'9' * 5000,
    json.dumps(chr(0xD800)).encode(),
    b'[' * 5000,
)


def odd_bodies(service: str, until: float) -> list[bytes]:
    member = Member('m', service, 'a', '127.0.0.1:1', 'b')
    valid = json.loads(encode_member_row(MemberRow(member, until, 'm')))
    odd = [
        json.dumps({**valid, 'address': address}).encode()
        for address in ODD_ADDRESSES
    ]
    text = json.dumps({**valid, 'until': 'TIME'}).encode()
    odd.extend(text.replace(b'"TIME"', time) for time in ODD_TIMES)
    return [*odd, *BAD_BODIES]


def known_members(node: Node) -> int:
    return len(node.process._directory.members())


def test_members_are_followed_beside_odd_rows() -> None:
    """Guards against processes that end, or learn nothing, by such a row."""

    async def scenario(harness: Harness) -> None:
        until = harness.clock.now() + LEASE_S
        for service in (KEYED, PLAIN):
            for number, body in enumerate(odd_bodies(service, until)):
                # In the order of names they stand before those of members.
                name = member_row(service, f'!{number}')
                harness.store.rows.put(TABLE, name.key, body, name.part)
        late = await harness.async_add(PLAIN)
        await harness.async_until(lambda: late.process.is_ready)
        for number in range(40):
            node = harness.nodes[number % len(harness.nodes)]
            path = '/letters/1' if number % 2 else '/cases/1'
            reply = await harness.async_ask(
                node, path, f'r{number}', number * 1000
            )
            assert reply.status == 200
        await harness.async_until(
            lambda: {known_members(node) for node in harness.nodes} == {4}
        )

    run_scenario(239, (KEYED, PLAIN, KEYED), scenario)
