"""Tests of the keyspace subsystem."""
