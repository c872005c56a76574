"""Tests of balance."""
