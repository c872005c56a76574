"""The sidecar process of one backend server on the users' platform."""
