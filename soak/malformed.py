"""Malformed heartbeats and rows, sent to a process or to the store."""

import base64
import json
import random

from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import TABLE, member_row
from plantaingrade.operators.desired_state import desired_state_row
from plantaingrade.peers.entity import Member
from soak.cluster import PEERS_PORT, Cluster, Instance
from standins.incarnation import Heartbeat, Incarnation
from standins.malformed import Flaw, corrupt
from standins.reports import Reporter

UNKNOWN_ID = 'stranger'
# No process listens on this address.
UNUSED_ADDRESS = f'127.12.0.1:{PEERS_PORT}'
FLAWS = tuple(Flaw)
# If applied in part, it would hide all later heartbeats of a run.
HIGH_SEQUENCE = 1_000_000
# Keys assigned to the unknown member would stay unserved for the whole run.
LEASE_S = 3600.0


async def async_send_report(
    cluster: Cluster, instance: Instance, rng: random.Random
) -> None:
    """Send a malformed heartbeat, under the server's id or an unknown one."""
    server_id = rng.choice((cluster.server_id(instance), UNKNOWN_ID))
    heartbeat = Heartbeat(
        Incarnation.with_id(server_id),
        instance.service,
        instance.server,
        instance.zone,
        capacity=1,
        state='ready',
        sequence=HIGH_SEQUENCE,
    )
    reporter = Reporter(heartbeat, instance.reports, cluster.pool)
    await reporter.async_send_malformed(rng.choice(FLAWS), rng)


async def async_put_row(
    cluster: Cluster, instance: Instance, rng: random.Random
) -> None:
    """Write a malformed row to a service's part, replacing no valid row."""
    member = Member(
        UNKNOWN_ID, instance.service, instance.zone, UNUSED_ADDRESS, UNKNOWN_ID
    )
    row = MemberRow(member, cluster.clock.now() + LEASE_S, UNKNOWN_ID)
    fields = json.loads(encode_member_row(row))
    body = corrupt(fields, rng.choice(FLAWS), rng)
    name = rng.choice(
        (
            member_row(instance.service, UNKNOWN_ID, cluster.store_epoch),
            desired_state_row(instance.service, instance.known_ip),
        )
    )
    entry = {
        'table': TABLE,
        'part': name.part,
        'key': name.key,
        'value': base64.b64encode(body).decode(),
    }
    await cluster.async_send_command(cluster.store, {'puts': [entry]})
