"""Tests of http."""
