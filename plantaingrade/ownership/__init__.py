"""Slice ownership of this process: fences, takeovers and handovers."""
