"""Leases of members, renewed at witnesses in other availability zones."""
