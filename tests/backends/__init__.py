"""Tests of backends."""
