"""Constants that several packages share."""

MS_PER_S = 1000
PERCENT = 100
