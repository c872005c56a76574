"""Who should own and succeed what, as the decider sees it."""
