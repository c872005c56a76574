"""Adapter for the users' platform.

No other package knows the names and formats that the platform uses.
"""
