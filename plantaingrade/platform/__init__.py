"""Adapter for the users' platform: the only place that knows its words."""
