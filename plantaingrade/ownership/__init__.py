"""What this process owns: fences, takeovers, hand-overs."""
