"""Client interface of the shared store: calls, outcomes and clock."""
