"""Leases on keys: this process's own, and the grants to its server."""
