"""Errors of storage members; both sides load them, so that they keep their types."""

from __future__ import annotations

from lentilroad.errors import LentilroadError


class StaleMapError(LentilroadError):
    """The caller's list of storage members is older than the replica's."""

    code = "stale_storage_map"
    http_status = 503


class NotCaughtUpError(LentilroadError):
    """The replica has not yet copied what it should hold."""

    code = "storage_not_caught_up"
    http_status = 503


class DiskRefusedError(LentilroadError):
    """The disk refused a write, or is too full to take one."""

    code = "disk_refused"
    http_status = 503
    default_outcome = "unknown"
