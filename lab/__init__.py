"""Play loads against the product's own decisions, in virtual time."""
