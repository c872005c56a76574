"""Tests of the supervision of background tasks."""
