"""Spread keys over servers by the load they bring."""
