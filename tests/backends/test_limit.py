"""Tests of the limit that a server names, with answers out of order."""

from plantaingrade.backends.limit import LimitChange, LimitTracker
from plantaingrade.backends.report import NamedLimit, NoLimit, UnreadableLimit


def test_limit_is_learned_changed_and_ended() -> None:
    tracker = LimitTracker()
    tracker.on_new_incarnation()
    assert tracker.awaits_response
    assert tracker.on_response(NamedLimit(9), 1, 2) == LimitChange(None, 9)
    assert not tracker.awaits_response
    assert tracker.on_response(NamedLimit(12.5), 3, 4) == LimitChange(9, 12.5)
    assert tracker.on_response(NamedLimit(12.5), 3, 5) is None
    assert tracker.on_response(NoLimit(), 5, 6) == LimitChange(12.5, None)
    assert tracker.per_s is None


def test_late_answer_neither_ends_nor_raises_a_limit() -> None:
    """An answer that was sent before the limit was named arrives after it."""
    tracker = LimitTracker()
    tracker.on_response(NamedLimit(5), 1, 2)
    assert tracker.on_response(NoLimit(), 1.9, 3) is None
    assert tracker.on_response(NamedLimit(50), 1.9, 3) is None
    assert tracker.per_s == 5


def test_lower_limit_applies_at_once() -> None:
    """A request that runs for long is answered with a lower limit."""
    tracker = LimitTracker()
    tracker.on_response(NamedLimit(50), 1, 2)
    tracker.on_response(NamedLimit(5), 1.5, 3)
    assert tracker.per_s == 5


def test_answer_to_an_order_ends_no_limit() -> None:
    tracker = LimitTracker()
    tracker.on_response(NamedLimit(5), 1, 2)
    assert tracker.on_notice(NoLimit(), 3, 4) is None
    assert tracker.per_s == 5


def test_unreadable_limit_changes_nothing_and_is_reported_once() -> None:
    """A limit that cannot be read ends no limit and stops no server."""
    tracker = LimitTracker()
    tracker.on_response(NamedLimit(5), 1, 2)
    unreadable = UnreadableLimit('nan')
    assert tracker.on_response(unreadable, 3, 4) == unreadable
    assert tracker.on_response(unreadable, 5, 6) is None
    assert tracker.per_s == 5
    fresh = LimitTracker()
    fresh.on_new_incarnation()
    fresh.on_response(unreadable, 1, 2)
    assert fresh.per_s is None
    assert not fresh.awaits_response


def test_limit_ends_with_its_incarnation() -> None:
    tracker = LimitTracker()
    tracker.on_response(NamedLimit(5), 1, 2)
    tracker.on_new_incarnation()
    assert tracker.per_s is None
    assert tracker.awaits_response


def test_server_that_starts_beside_this_process_may_get_all_its_work() -> None:
    """A new server gets few requests, though no other process sent it any."""
    tracker = LimitTracker()
    tracker.on_new_incarnation()
    assert tracker.is_unknown
    tracker.on_response(NoLimit(), 1, 2)
    tracker.on_new_incarnation()
    assert tracker.awaits_response
    assert not tracker.is_unknown


def test_limit_may_outlast_an_incarnation_that_is_taken_for_another() -> None:
    """A server that did not start anew gets its whole load in spite of it."""
    for notice in (NamedLimit(5), UnreadableLimit('nan')):
        tracker = LimitTracker()
        tracker.on_new_incarnation()
        tracker.on_response(NoLimit(), 1, 2)
        tracker.on_response(notice, 3, 4)
        tracker.on_new_incarnation()
        assert tracker.is_unknown
        # No request has been answered since.
        tracker.on_new_incarnation()
        assert tracker.is_unknown
