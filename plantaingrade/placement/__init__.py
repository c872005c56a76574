"""Placement of slices: planning of their owners and successors."""
