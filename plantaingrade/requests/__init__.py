"""Requests of callers, from the instance where they begin to their answer."""
