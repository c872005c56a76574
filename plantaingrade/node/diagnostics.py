"""The state of a process, for operators."""

from typing import Any

from msgspec.structs import asdict

from plantaingrade.node.parts import Parts


def diagnose(parts: Parts) -> dict[str, Any]:
    """Return what ``/-/status`` shows."""
    row = parts.own_row()
    state = parts.state()
    endpoint = parts.endpoint
    last = parts.ownership.last_takeover
    return {
        'member': parts.row.member,
        'service': parts.row.service,
        'zone': parts.row.zone,
        'state': None if row is None else row.state,
        'backend': parts.backend.state,
        'generation': state.generation,
        'declaration': state.declaration_generation,
        'lease_left_s': parts.leases.expires_at() - parts.clock.now(),
        'epochs': parts.leases.holder.epochs,
        'witnessed_leases': len(parts.leases.witness),
        'owned': len(parts.ownership.owned_slices()),
        'not_in_journal': len(parts.ownership.table.acquired),
        'takeovers': parts.ownership.takeovers,
        'last_takeover': None if last is None else asdict(last),
        'decider': parts.decider.is_decider(),
        'datagrams_sent': endpoint.sent,
        'datagrams_received': endpoint.received,
        'datagrams_malformed': endpoint.malformed,
        'bytes_sent': endpoint.bytes_sent,
        'bytes_received': endpoint.bytes_received,
        'pulls': parts.membership.pulls,
        'in_flight': parts.ownership.in_flight.total(),
        'queued': len(parts.admission),
    }
