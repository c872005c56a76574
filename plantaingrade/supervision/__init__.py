"""Background tasks: their failures are reported, and loops started again."""
