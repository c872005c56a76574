"""Adapters to the dialects of backend servers."""
