"""Small stand-ins for what surrounds the system, with faults to order."""
