"""Tests of holds."""
