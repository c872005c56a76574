"""The budget of repeats."""

from plantaingrade.admission.service_retries import ServiceRetryBudget

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0


def test_all_processes_together_keep_to_the_bound() -> None:
    """Every request fails and would be sent again, everywhere, for 10 s.

    Three of four requests are calls of servers, which earn nothing by the
    platform's count.
    """
    processes, per_s = 10, 65
    repeats = 0
    for _ in range(processes):
        budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
        for number in range(int(per_s * WINDOW_S)):
            budget.on_request('s', processes, number / per_s)
            repeats += budget.try_spend('s', 0)
    counted = processes * per_s * WINDOW_S / 4
    assert 0 < repeats <= RATIO * counted + SLACK


def test_the_most_urgent_class_spends_last_of_all() -> None:
    budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
    assert budget.try_spend('s', 2)
    assert not budget.try_spend('s', 2)
    assert budget.try_spend('s', 0)
    assert not budget.try_spend('s', 0)


def test_services_have_budgets_of_their_own() -> None:
    budget = ServiceRetryBudget(RATIO, SLACK, WINDOW_S)
    while budget.try_spend('s', 0):
        continue
    assert budget.try_spend('t', 0)
