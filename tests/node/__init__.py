"""Tests of node."""
