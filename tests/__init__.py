"""Tests; the tree mirrors the package's."""
