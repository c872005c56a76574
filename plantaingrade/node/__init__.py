"""One process: its settings, its parts, and their start and stop."""
