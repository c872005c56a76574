"""Leases on keys: this member's own lease, and the grants to its server."""
