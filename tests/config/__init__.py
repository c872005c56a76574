"""Tests of the routing configuration."""
