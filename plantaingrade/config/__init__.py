"""Active routing configuration: routes, services and limits."""
