"""How witnesses of leases are chosen and asked."""

from typing import Protocol

from plantaingrade.holds.entity import Question, Witness


class Witnesses(Protocol):
    """Other processes that promise, or give members up."""

    def choose(self) -> tuple[Witness, ...]:
        """Return those that a lease should name, none if nobody is known."""

    async def async_ask(self, witness: Witness, question: Question) -> bool:
        """Ask one; tell whether it agreed, also if it did not answer."""
