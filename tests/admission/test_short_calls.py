"""Short urgent calls beside long reads at one server, played."""

from tests.admission.replay import Class, Play, make_queue

SLOTS = 9
SECONDS = 60.0
SEEDS = range(4)
# Parts of what comes.
HARDLY_ANY = 0.02
NEARLY_ALL = 0.93
READ = Class('read', 2, 30.0, 0.36, 0.8, 1.0, 2.0, 1, 0.3)
CALL = Class('call', 1, 60.0, 0.022, 0.5, 0.1, 0.25, 3, 0.9)


def lost_share(seed: int) -> tuple[float, float]:
    """Return the parts of calls and of reads that were not served."""
    game = Play((READ, CALL), make_queue(SLOTS), SECONDS, seed=seed)
    told = game.run()
    return (
        told['call'].lost / told['call'].asked,
        told['read'].lost / told['read'].asked,
    )


def test_short_calls_are_not_turned_away_behind_long_reads() -> None:
    """Callers are told 500 though the servers between have room in time.

    Servers of another service call this one for each request that they run.
    Long reads of a less urgent class keep all slots busy; a slot becomes free
    each 40 ms. The calls are refused as if all work that runs had to end
    before one could begin, and each takes the request that it serves with it.
    """
    lost = [lost_share(seed)[0] for seed in SEEDS]
    assert max(lost) < HARDLY_ANY


def test_long_reads_get_what_short_calls_leave() -> None:
    """No slot is kept idle for calls that may come.

    The calls need 1.3 of nine slots; the rest is room for 21 reads a second,
    of 30 that come.
    """
    room = (SLOTS - CALL.per_s * CALL.work_s) / (READ.per_s * READ.work_s)
    served = [1 - lost_share(seed)[1] for seed in SEEDS]
    assert min(served) > NEARLY_ALL * room


SIGN = Class('sign', 0, 53.0, 0.15, 0.3, 0.35, 1.0, 3, 0.9)
CHECK = Class('check', 1, 30.0, 0.022, 0.5, 0.1, 0.25, 0, 0)


def test_short_calls_of_a_lower_class_are_not_starved() -> None:
    """Each call that is turned away loses the request that waits for it."""
    lost = []
    for seed in SEEDS:
        game = Play((SIGN, CHECK), make_queue(SLOTS), SECONDS, seed=seed)
        told = game.run()['check']
        lost.append(told.lost / told.asked)
    assert max(lost) < HARDLY_ANY
