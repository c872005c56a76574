"""Constants of the ownership subsystem."""

RELEASE_EVERY_S = 0.05
# Extra wait before a takeover, for clock drift over one lease, in seconds.
DRIFT_WAIT_S = 0.05
# How long a successor's acceptance of an offer is valid, in seconds.
ACCEPTANCE_S = 0.5
