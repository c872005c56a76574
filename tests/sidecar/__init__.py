"""Tests of sidecar."""
