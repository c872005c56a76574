"""Words of strangers, said to a process or put into the product's tables."""

import base64
import json
import random

from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import TABLE, member_row
from plantaingrade.operators.wishes import wish_row
from plantaingrade.peers.entity import Member
from soak.cluster import PEERS_PORT, Instance, Cluster
from standins.incarnation import Heartbeat, Incarnation
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
    cluster: Cluster, instance: Instance, chooser: random.Random
) -> None:
    """Send a flawed heartbeat, under the id of the server or a stranger's."""
    server_id = chooser.choice((cluster.server_id(instance), STRANGER))
    heartbeat = Heartbeat(
        Incarnation.under_id(server_id),
        instance.service,
        instance.server,
        instance.zone,
        capacity=1,
        state='ready',
        sequence=LATE_SEQUENCE,
    )
    reporter = Reporter(heartbeat, instance.reports, cluster.pool)
    await reporter.async_say_strange(chooser.choice(FLAWS), chooser)


async def async_put_row(
    cluster: Cluster, instance: Instance, chooser: random.Random
) -> None:
    """Put a flawed row beside those of a service, overwriting none."""
    member = Member(
        STRANGER, instance.service, instance.zone, STRANGE_ADDRESS, STRANGER
    )
    row = MemberRow(member, cluster.clock.now() + LEASE_S, STRANGER)
    fields = json.loads(encode_member_row(row))
    body = spoil(fields, chooser.choice(FLAWS), chooser)
    name = chooser.choice(
        (
            member_row(instance.service, STRANGER, cluster.store_epoch),
            wish_row(instance.service, instance.known_ip),
        )
    )
    entry = {
        'table': TABLE,
        'part': name.part,
        'key': name.key,
        'value': base64.b64encode(body).decode(),
    }
    await cluster.async_order(cluster.store, {'puts': [entry]})
