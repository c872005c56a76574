"""Load balancing: distributes key ranges over servers by load."""
