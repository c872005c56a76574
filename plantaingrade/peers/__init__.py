"""Discovery of the other processes, and messages between them."""
