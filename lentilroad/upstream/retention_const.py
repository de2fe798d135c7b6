"""Constants of cache retention."""

from __future__ import annotations

MAX_TOOLS = 1000

# Above the high watermark, caches are evicted until the low watermark is reached.
HIGH_WATERMARK_SHARE = 0.95
LOW_WATERMARK_SHARE = 0.90
# A longer pause is likely to outlast the exported copy.
EXPORT_MAX_PAUSE_S = 600.0
