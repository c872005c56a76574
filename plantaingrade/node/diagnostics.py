"""Status report of a process for operators."""

from typing import Any

from msgspec.structs import asdict

from plantaingrade.node.components import Components


def diagnose(components: Components) -> dict[str, Any]:
    """Return the fields of the response to ``/-/status``."""
    row = components.own_row()
    state = components.state()
    endpoint = components.endpoint
    last = components.ownership.last_takeover
    return {
        'member': components.row.member,
        'service': components.row.service,
        'zone': components.row.zone,
        'state': None if row is None else row.state,
        'backend': components.backend.state,
        'generation': state.generation,
        'declaration': state.declaration_generation,
        'lease_left_s': components.leases.expires_at() - components.clock.now(),
        'epochs': components.leases.holder.epochs,
        'witnessed_leases': len(components.leases.witness),
        'owned': len(components.ownership.owned_slices()),
        'not_in_journal': len(components.ownership.table.acquired),
        'takeovers': components.ownership.takeovers,
        'last_takeover': None if last is None else asdict(last),
        'decider': components.decider.is_decider(),
        'datagrams_sent': endpoint.sent,
        'datagrams_received': endpoint.received,
        'datagrams_malformed': endpoint.malformed,
        'bytes_sent': endpoint.bytes_sent,
        'bytes_received': endpoint.bytes_received,
        'pulls': components.membership.pulls,
        'in_flight': components.ownership.in_flight.total(),
        'queued': len(components.admission),
    }
