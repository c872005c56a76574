"""Tests of the tools for developers."""
