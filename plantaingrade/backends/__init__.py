"""Adapters to the dialects of backend servers, and their health."""
