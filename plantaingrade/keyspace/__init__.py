"""Who owns which keys: ranges, fences, and the ways they may change."""
