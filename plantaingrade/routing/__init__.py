"""Routes requests to the owners of their keys."""
