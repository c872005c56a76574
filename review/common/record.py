"""Record of what clients sent and received, and what servers ran."""

import json
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Sent:
    """One client attempt and its final answer; no status without one."""

    attempt: str
    method: str
    path: str
    machine: int
    is_idempotent: bool
    status: int | None = None
    stamp: str = ''
    body: bytes = b''


@dataclass(slots=True)
class Record:
    """Everything that the stand-ins saw, in order."""

    began: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    runs: Counter[str] = field(default_factory=Counter)
    servers_by_attempt: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )

    def write(self, event: str, **fields: Any) -> None:
        """Add one line with the time since the start."""
        at_s = round(time.monotonic() - self.began, 4)
        self.lines.append(json.dumps({'t': at_s, 'event': event, **fields}))

    def on_run(self, attempt: str, server: str, path: str) -> None:
        """Record that a server begins to work on a request."""
        self.runs[attempt] += 1
        self.servers_by_attempt[attempt].add(server)
        self.write('run', attempt=attempt, server=server, path=path)

    def save(self, path: str) -> None:
        """Write the record to a file."""
        with open(path, 'w', encoding='utf-8') as sink:
            sink.write('\n'.join(self.lines))
            sink.write('\n')
