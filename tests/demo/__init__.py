"""Tests of demo."""
