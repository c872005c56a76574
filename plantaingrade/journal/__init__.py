"""Journal: the ordered log of all changes to members, owners and settings."""
