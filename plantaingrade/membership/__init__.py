"""Spread of the journal between processes."""
