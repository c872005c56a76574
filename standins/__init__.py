"""Stand-ins for the servers and services around the system.

Their faults can be turned on and off over HTTP.
"""
