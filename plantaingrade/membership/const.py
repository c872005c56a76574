"""Constants of membership."""

BEAT_EVERY_S = 0.5
BEAT_FANOUT = 2
NEWS_FANOUT = 4
PULL_TIMEOUT_S = 2.0
PULL_PATH = '/plantaingrade.Journal/Pull'
BEAT_SPREAD = (0.8, 1.2)
