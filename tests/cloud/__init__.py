"""Tests of the cloud package."""
