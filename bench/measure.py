"""Measure processor time and memory, and fit lines to measurements."""

import os
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from time import process_time
from typing import Any

import numpy as np

TICKS_PER_S = os.sysconf('SC_CLK_TCK')
MICROS = 1_000_000


@dataclass(slots=True, frozen=True)
class Line:
    """A linear function: value = base + slope * size."""

    base: float
    slope: float

    @classmethod
    def through(cls, sizes: list[float], figures: list[float]) -> 'Line':
        """Fit a line by least squares."""
        slope, base = np.polyfit(sizes, figures, 1)
        return cls(float(base), float(slope))

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.slope * size


def cpu_us(work: Callable[[], Any], times: int) -> float:
    """Return the mean processor time of a call in microseconds."""
    started_at = process_time()
    for _ in range(times):
        work()
    return (process_time() - started_at) / times * MICROS


def allocated(build: Callable[[], Any]) -> tuple[int, Any]:
    """Return the bytes allocated by building an object, and the object."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, built


def process_cpu_s(pid: int) -> float:
    """Return the processor time a process has used, from procfs."""
    with open(f'/proc/{pid}/stat') as stat:
        fields = stat.read().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, from procfs."""
    with open(f'/proc/{pid}/statm') as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / MICROS
