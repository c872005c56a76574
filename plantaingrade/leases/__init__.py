"""Leases of processes, renewed at witnesses in other availability zones."""
