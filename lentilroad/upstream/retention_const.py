"""Constants of the cache retention."""

from __future__ import annotations

import math

# 60 buckets, each a quarter wider, cover 50 ms to more than 9 hours.
SKETCH_BUCKETS = 60
SKETCH_SHORTEST_S = 0.05
SKETCH_LOG_WIDTH = math.log(1.25)
SKETCH_MEMORY_PAUSES = 500.0
SKETCH_RESCALE_ABOVE = 1e12
# Below this share of all observations the tail says too little.
SKETCH_TAIL_SHARE = 1e-3
UNKNOWN_PAUSE_S = 10.0
TOOLS_MAX = 1000

# Caches are given up above the high mark until the low one is reached.
PRESSURE_HIGH = 0.95
PRESSURE_LOW = 0.90
# A longer pause is unlikely to end while the exported copy is still kept.
EXPORT_PAUSE_MAX_S = 600.0
