"""The path of requests to the owners of their keys."""
