"""Simulates load on the product's own decisions, in virtual time."""
