"""Other processes of the system: who they are, and messages to them."""
