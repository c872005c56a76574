"""Limits on the work of one backend server."""
