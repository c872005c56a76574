"""Runs the real programs as processes, injects faults, checks guarantees."""
