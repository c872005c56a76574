"""Operators see which calls a process makes to the store."""

import os
from collections import Counter
from types import SimpleNamespace

from plantaingrade.eventlog import EventLog
from plantaingrade.store.counting import CALLS_PER_LINE, CountingStore
from plantaingrade.store.entity import (
    Changes,
    NotDone,
    OutcomeUnknown,
    StoreFailure,
    Transaction,
)
from tests.virtual import LoopClock, run


async def async_refuse(*_: object) -> NotDone:
    return NotDone(StoreFailure.BUSY)


async def async_lose(*_: object) -> OutcomeUnknown:
    return OutcomeUnknown(StoreFailure.LOST)


async def async_report_nothing(*_: object) -> Changes:
    return Changes((), 1, 0)


def test_calls_and_failures_are_counted_by_kind() -> None:
    counts: Counter[str] = Counter()

    async def scenario() -> None:
        store = CountingStore(
            SimpleNamespace(
                async_read=async_refuse,
                async_commit=async_lose,
                async_follow=async_report_nothing,
            ),
            lambda kind: counts.update((kind,)),
            EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY)),
        )
        await store.async_read('t', 'p')
        await store.async_commit(Transaction(()))
        await store.async_follow('t', 0, 1.0)

    run(scenario())
    assert counts == {
        'store-read': 1,
        'store-read-failed': 1,
        'store-change': 1,
        'store-change-failed': 1,
        'store-follow': 1,
    }


def test_counts_are_logged_once_per_many_calls() -> None:
    lines: list[dict[str, int]] = []

    async def scenario() -> None:
        store = CountingStore(
            SimpleNamespace(async_read=async_refuse),
            lambda _: None,
            SimpleNamespace(write=lambda _, by_kind: lines.append(by_kind)),
        )
        for _ in range(2 * CALLS_PER_LINE):
            await store.async_read('t', 'p')

    run(scenario())
    assert lines == [
        {'store-read': CALLS_PER_LINE},
        {'store-read': 2 * CALLS_PER_LINE},
    ]
