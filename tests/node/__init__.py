"""Tests of the node package."""
