"""Constants shared by several packages."""

MS_PER_S = 1000
PERCENT = 100
