"""Tests for load balancing."""
