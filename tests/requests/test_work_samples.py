"""What the outcomes of requests teach about the work of their class."""

import pytest

from plantaingrade.admission.entity import Ticket
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.server_exchange import ServerProgress
from plantaingrade.requests.work_samples import WorkSamples

ANSWERED = Answered(Answer(200, (), b''))
HUNG = Unknown(UnknownReason.TIMEOUT)
WORK_S = 0.1
LIMIT_S = 1.5


class Samples:
    """Samples of one class at one server."""

    def __init__(self) -> None:
        self.estimate = WorkEstimate()
        self._samples = WorkSamples(self.estimate)

    def add(
        self,
        began: float,
        took_s: float,
        outcome: Outcome = ANSWERED,
        head_after_s: float | None = None,
    ) -> float:
        head_at = None if head_after_s is None else began + head_after_s
        progress = ServerProgress(began, head_at)
        ended = began + took_s
        ticket = Ticket('k', 1, ended, ended)
        self._samples.observe(ticket, progress, outcome, ended)
        return self.estimate.expected_s('k')


def test_request_that_hangs_beside_answered_ones_teaches_nothing() -> None:
    """Guards against refusals by a sound server after some requests hung."""
    samples = Samples()
    for number in range(20):
        samples.add(number, WORK_S)
        samples.add(number - LIMIT_S, LIMIT_S + WORK_S, HUNG)
    assert samples.estimate.expected_s('k') == pytest.approx(WORK_S)
    assert samples.estimate.long_term_s('k') == pytest.approx(WORK_S)


def test_server_that_answers_nothing_seems_slow() -> None:
    samples = Samples()
    samples.add(0, WORK_S)
    assert samples.add(1, LIMIT_S, HUNG) > WORK_S


def test_answer_that_is_cut_off_in_its_body_counts_up_to_its_head() -> None:
    samples = Samples()
    samples.add(0, WORK_S)
    samples.add(1, LIMIT_S, HUNG, WORK_S)
    assert samples.estimate.expected_s('k') == pytest.approx(WORK_S)
