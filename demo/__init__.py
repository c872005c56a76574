"""Run the whole system on one machine with faults, and verify it."""
