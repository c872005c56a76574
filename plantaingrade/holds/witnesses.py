"""Interface for choosing and asking the witnesses of leases."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

from plantaingrade.holds.entity import Witness, WitnessRequest


class Witnesses(Protocol):
    """Other processes that promise leases or agree to their expiry."""

    def choose(self) -> tuple[Witness, ...]:
        """Return the witnesses for a lease, none if no process is known."""

    async def async_ask(
        self, witness: Witness, question: WitnessRequest
    ) -> bool:
        """Ask one witness; return whether it agreed, false if unanswered."""


async def async_collect_agreed(
    witnesses: Witnesses, request_by_witness: Mapping[Witness, WitnessRequest]
) -> list[Witness]:
    """Ask several witnesses at once; return those that agreed."""
    answers = await asyncio.gather(
        *(
            witnesses.async_ask(witness, question)
            for witness, question in request_by_witness.items()
        )
    )
    return [
        witness
        for witness, is_agreed in zip(request_by_witness, answers, strict=True)
        if is_agreed
    ]
