"""Predicates and outcomes shared by the rules."""

from plantaingrade.journal.entity import (
    Applied,
    MapState,
    MemberState,
    Rejected,
    RejectReason,
)

APPLIED = Applied()
STALE = Rejected(RejectReason.STALE)


def is_eligible(state: MapState, member: str | None) -> bool:
    """Return whether a member may become an owner or a successor."""
    row = state.members.get(member or '')
    return row is not None and row.state is MemberState.READY


def has_ended(state: MapState, member: str | None) -> bool:
    """Return whether the journal proves that a member's lease has ended."""
    row = state.members.get(member or '')
    return row is None or row.state is MemberState.OVER
