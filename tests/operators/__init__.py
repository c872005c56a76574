"""Tests of the operators package."""
