"""Tests of the lease subsystem."""
