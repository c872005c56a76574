"""Intervals, fanouts and paths of the gossip between members."""

HEARTBEAT_INTERVAL_S = 0.5
HEARTBEAT_FANOUT = 2
RECORD_FANOUT = 4
PULL_TIMEOUT_S = 2.0
PULL_PATH = '/plantaingrade.Journal/Pull'
HEARTBEAT_JITTER = (0.8, 1.2)
