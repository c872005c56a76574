"""Apply what the local backend server says of itself in its answers."""

from collections.abc import Callable

from plantaingrade.admission.named import NamedAllowance
from plantaingrade.backends.incarnation import (
    IncarnationChange,
    IncarnationTracker,
)
from plantaingrade.backends.limit import LimitChange
from plantaingrade.backends.report import (
    ResponseNotice,
    ServerIncarnation,
    ServerNotice,
    UnreadableLimit,
)
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog

# Time of sending assumed for an answer that carries none: it may be older than
# any other one, so it ends no limit.
UNKNOWN_TIME = float('-inf')


class ServerNotices:
    """Applies the limit and the leaving that the server names."""

    __slots__ = ('_clock', '_limit', '_log', '_on_change', '_tracker')

    def __init__(
        self,
        tracker: IncarnationTracker,
        limit: NamedAllowance,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[IncarnationChange], None],
    ) -> None:
        """Call ``on_change`` when the server is found to leave."""
        self._tracker = tracker
        self._limit = limit
        self._clock = clock
        self._log = log
        self._on_change = on_change

    def on_response(self, response: ResponseNotice) -> None:
        """Apply what the server says in the response to a request."""
        notice = response.notice
        if response.sent_to != self._tracker.instance or self._is_other(notice):
            return
        now = self._clock.now()
        may_finish = not self._limit.awaits_response
        apply = (
            self._limit.on_response
            if response.has_run
            else self._limit.on_notice
        )
        change = apply(notice.limit, response.sent_at, now)
        if change is None and not notice.is_leaving:
            return
        age_ms = round((now - response.sent_at) * MS_PER_S, 1)
        answer = response.request_id.decode('ascii', 'replace')
        self._log_limit(change, answer, age_ms)
        if notice.is_leaving:
            self._apply_leaving(answer, may_finish=may_finish)

    def on_order_notice(self, notice: ServerNotice) -> None:
        """Apply what the server says in the answer to an order."""
        self._apply_notice(notice, 'order')

    def on_peer_notice(self, incarnation: ServerIncarnation) -> None:
        """Apply that another process was told that an incarnation leaves.

        This process may have started since then.
        """
        is_current = incarnation == self._tracker.current
        if is_current and self._tracker.is_first_known:
            self._apply_leaving('peer', may_finish=False)

    def on_health_notice(self, notice: ServerNotice) -> None:
        """Apply what the server says in the answer to a health check."""
        self._apply_notice(notice, 'health')

    def _apply_notice(self, notice: ServerNotice, call: str) -> None:
        """Apply an answer to a call that is not a request.

        Only answers to requests have to name a limit, so one that names none
        ends none.
        """
        if self._is_other(notice):
            return
        now = self._clock.now()
        change = self._limit.on_notice(notice.limit, UNKNOWN_TIME, now)
        self._log_limit(change, call, None)
        if notice.is_leaving:
            self._apply_leaving(
                call, may_finish=not self._limit.awaits_response
            )

    def _apply_leaving(self, answer: str, *, may_finish: bool) -> None:
        change = self._tracker.on_leaving_notice(
            self._clock.now(), may_finish=may_finish
        )
        if change.is_leaving:
            self._log.write(
                'server-leaving-told',
                instance=self._tracker.instance,
                answer=answer,
                may_finish=may_finish,
            )
        self._on_change(change)

    def _is_other(self, notice: ServerNotice) -> bool:
        """Return whether a notice is from another incarnation."""
        return notice.instance not in {'', self._tracker.instance}

    def _log_limit(
        self,
        change: LimitChange | UnreadableLimit | None,
        answer: str,
        age_ms: float | None,
    ) -> None:
        """Log a change of the limit; ``answer`` is the answer that made it."""
        match change:
            case LimitChange(before, after):
                self._log.write(
                    'server-limit',
                    instance=self._tracker.instance,
                    before=before,
                    per_s=after,
                    answer=answer,
                    age_ms=age_ms,
                )
            case UnreadableLimit(text):
                self._log.write(
                    'server-limit-unreadable',
                    instance=self._tracker.instance,
                    text=text,
                    in_force=self._limit.per_s,
                    answer=answer,
                )
