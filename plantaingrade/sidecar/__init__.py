"""The process beside one backend server on the users' platform."""
