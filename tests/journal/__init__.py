"""Tests of journal."""
