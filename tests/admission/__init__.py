"""Tests for admission control."""
