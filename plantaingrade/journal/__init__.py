"""Ordered journal of every change to membership, ownership and settings."""
