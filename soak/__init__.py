"""Run the real programs as processes, break things, and check the promises."""
