"""Rows of the platform's store: typed calls, outcomes and clock."""
