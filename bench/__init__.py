"""Benchmarks. They print measurements and check no limits."""
