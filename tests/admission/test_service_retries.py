"""Tests for the retry budgets of services."""

from plantaingrade.admission.service_retries import ServiceRetryBudget

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0


def test_retries_of_all_processes_keep_to_the_limit() -> None:
    """All requests in all processes fail and are retried for 10 s.

    Three of four requests are calls from servers, which the platform does not
    count as requests.
    """
    processes, per_s = 10, 65
    retries = 0
    for _ in range(processes):
        budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
        for number in range(int(per_s * WINDOW_S)):
            budget.on_request('s', processes, number / per_s)
            retries += budget.try_spend('s', 0)
    counted = processes * per_s * WINDOW_S / 4
    assert 0 < retries <= RATIO * counted + SLACK


def test_last_token_is_reserved_for_the_most_urgent_class() -> None:
    budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
    assert budget.try_spend('s', 2)
    assert not budget.try_spend('s', 2)
    assert budget.try_spend('s', 0)
    assert not budget.try_spend('s', 0)


def test_services_have_separate_budgets() -> None:
    budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
    while budget.try_spend('s', 0):
        continue
    assert budget.try_spend('t', 0)
