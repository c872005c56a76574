"""Clients of the table service and the object store."""
