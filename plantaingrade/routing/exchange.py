"""One caller's request while it is being served."""

from dataclasses import dataclass, field

from plantaingrade.http.channel import Channel
from plantaingrade.http.pool import Pool
from plantaingrade.outcome import Answered, Outcome
from plantaingrade.routing.body import RequestBody
from plantaingrade.routing.entity import Head, Headers, RouteRequest
from plantaingrade.routing.relay import relay
from plantaingrade.routing.targets import Tries


@dataclass(slots=True)
class Exchange:
    """A request, its body, the caller it came from, and the tries so far."""

    request: RouteRequest
    caller: Channel
    body: RequestBody = field(init=False)
    tries: Tries = field(default_factory=Tries)

    def __post_init__(self) -> None:
        """Read the body from the caller."""
        self.body = RequestBody(self.caller)

    def left_s(self, now: float) -> float:
        """Return the seconds until the caller's deadline."""
        return self.request.deadline - now

    async def async_answer(
        self,
        pool: Pool,
        head: Head,
        replaced: Headers,
    ) -> Outcome:
        """Pass the upstream's answer on to the caller."""
        await relay(pool, head, self.caller, replaced)
        return Answered(head.response.status_code, head.direct)
