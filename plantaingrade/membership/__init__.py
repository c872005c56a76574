"""Replication of the journal between processes by gossip."""
