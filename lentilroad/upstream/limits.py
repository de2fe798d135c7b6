"""Timeouts of calls and their records."""

from __future__ import annotations

import msgspec

from lentilroad.upstream import const


class CallLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Timeouts of calls and their records, in seconds."""

    orphan_s: float = const.ORPHAN_LIMIT_S
    first_output_s: float = const.FIRST_OUTPUT_LIMIT_S
    output_gap_s: float = const.OUTPUT_GAP_LIMIT_S
    service_s: float = const.SERVICE_LIMIT_S
    attach_wait_s: float = const.ATTACH_WAIT_S
    drain_release_s: float = const.DRAIN_RELEASE_WAIT_S
    # Minimum time between two messages to one reader.
    chunk_interval_s: float = 0.0
