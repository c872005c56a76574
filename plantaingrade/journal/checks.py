"""Questions that several rules ask, and outcomes that they share."""

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
    """Tell whether a member may be given ownership."""
    row = state.members.get(member or '')
    return row is not None and row.state is MemberState.READY


def has_ended(state: MapState, member: str | None) -> bool:
    """Tell whether the journal proves that a member's lease has ended."""
    row = state.members.get(member or '')
    return row is None or row.state is MemberState.OVER
