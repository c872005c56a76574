"""Routing configuration in force: routes, services, limits."""
