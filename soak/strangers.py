"""Words of strangers, said to a process or put into the product's tables."""

import base64
import json
import random

from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import TABLE, member_row
from plantaingrade.operators.desired_state import desired_state_row
from plantaingrade.peers.entity import Member
from soak.world import PEERS_PORT, Spot, World
from standins.life import Heartbeat, Life
from standins.reports import Reporter
from standins.strange import Flaw, spoil

STRANGER = 'stranger'
# Nobody listens there.
STRANGE_ADDRESS = f'127.12.0.1:{PEERS_PORT}'
FLAWS = tuple(Flaw)
# Taken up in part, it would shadow every heartbeat that follows in a run.
LATE_SEQUENCE = 1_000_000
# Keys given to a stranger would be served by nobody to the end of a run.
LEASE_S = 3600.0


async def async_report(
    world: World, spot: Spot, chooser: random.Random
) -> None:
    """Send a flawed heartbeat, under the id of the server or a stranger's."""
    instance = chooser.choice((world.server_id(spot), STRANGER))
    heartbeat = Heartbeat(
        Life.under_id(instance),
        spot.service,
        spot.server,
        spot.zone,
        capacity=1,
        state='ready',
        sequence=LATE_SEQUENCE,
    )
    reporter = Reporter(heartbeat, spot.reports, world.pool)
    await reporter.async_say_strange(chooser.choice(FLAWS), chooser)


async def async_put_row(
    world: World, spot: Spot, chooser: random.Random
) -> None:
    """Put a flawed row beside those of a service, overwriting none."""
    member = Member(
        STRANGER, spot.service, spot.zone, STRANGE_ADDRESS, STRANGER
    )
    row = MemberRow(member, world.clock.now() + LEASE_S, STRANGER)
    fields = json.loads(encode_member_row(row))
    body = spoil(fields, chooser.choice(FLAWS), chooser)
    name = chooser.choice(
        (
            member_row(spot.service, STRANGER, world.store_epoch),
            desired_state_row(spot.service, spot.known_ip),
        )
    )
    entry = {
        'table': TABLE,
        'part': name.part,
        'key': name.key,
        'value': base64.b64encode(body).decode(),
    }
    await world.async_order(world.store, {'puts': [entry]})
