"""A caller's request while it is served."""

from dataclasses import dataclass, field

from plantaingrade.http.channel import Channel
from plantaingrade.http.pool import Pool
from plantaingrade.outcome import Answered, Outcome
from plantaingrade.routing.body import RequestBody
from plantaingrade.routing.entity import Head, Headers, RouteRequest
from plantaingrade.routing.relay import relay
from plantaingrade.routing.targets import RetryState


@dataclass(slots=True)
class Exchange:
    """A request, its body, its caller and the state of its retries."""

    request: RouteRequest
    caller: Channel
    body: RequestBody = field(init=False)
    retry_state: RetryState = field(default_factory=RetryState)

    def __post_init__(self) -> None:
        """Create the body, which is read from the caller."""
        self.body = RequestBody(self.caller)

    def left_s(self, now: float) -> float:
        """Return the seconds left until the caller's deadline."""
        return self.request.deadline - now

    async def async_respond(
        self,
        pool: Pool,
        head: Head,
        replaced: Headers,
    ) -> Outcome:
        """Forward the upstream's response to the caller."""
        await relay(pool, head, self.caller, replaced)
        return Answered(head.response.status_code, head.direct)
