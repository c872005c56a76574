"""How witnesses of leases are chosen and asked."""

import asyncio
from collections.abc import Mapping
from typing import Protocol

from plantaingrade.holds.entity import Witness, WitnessRequest


class Witnesses(Protocol):
    """Other processes that promise, or give members up."""

    def choose(self) -> tuple[Witness, ...]:
        """Return those that a lease should name, none if nobody is known."""

    async def async_ask(
        self, witness: Witness, question: WitnessRequest
    ) -> bool:
        """Ask one; tell whether it agreed, also if it did not answer."""


async def async_agreed(
    witnesses: Witnesses, question_by_witness: Mapping[Witness, WitnessRequest]
) -> list[Witness]:
    """Ask several at once; return those that agreed."""
    answers = await asyncio.gather(
        *(
            witnesses.async_ask(witness, question)
            for witness, question in question_by_witness.items()
        )
    )
    return [
        witness
        for witness, is_agreed in zip(question_by_witness, answers, strict=True)
        if is_agreed
    ]
