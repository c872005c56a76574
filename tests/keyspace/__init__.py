"""Tests of keyspace."""
