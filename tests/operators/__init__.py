"""Tests of operators."""
