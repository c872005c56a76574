"""Constants of the supervision of background tasks."""

# Pause before a failed task is started again, doubled with each further failure
# up to the maximum. A change must be active 2 s after it was made, so a task
# that fails once is not missed.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
# Processes that fail at the same input don't call the store at the same time.
PAUSE_JITTER = (0.5, 1.0)
# Time for which a task must run after a failure until it counts as sound. With
# the first pause it is shorter than the platform's period of readiness probes:
# two failed probes stop the traffic, one does not.
PROVEN_S = 0.8
