"""Whole system on one machine, with faults, judged from outside."""
