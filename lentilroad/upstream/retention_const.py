"""Constants of the cache retention."""

from __future__ import annotations

TOOLS_MAX = 1000

# Caches are given up above the high mark until the low one is reached.
PRESSURE_HIGH = 0.95
PRESSURE_LOW = 0.90
# A longer pause is unlikely to end while the exported copy is still kept.
EXPORT_PAUSE_MAX_S = 600.0
