"""Benchmarks; they measure and judge nothing."""
