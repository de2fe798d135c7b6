"""Errors of storage members.

Both the storage members and the entries import this module, so that an entry decodes
the errors to their types.
"""

from __future__ import annotations

from lentilroad.errors import LentilroadError


class StaleMapError(LentilroadError):
    """The caller's list of storage members is outdated."""

    code = "stale_storage_map"
    http_status = 503


class NotCaughtUpError(LentilroadError):
    """The replica has not yet copied all records that it should store."""

    code = "storage_not_caught_up"
    http_status = 503


class DiskRefusedError(LentilroadError):
    """The disk refused a write, or its used share is above the limit."""

    code = "disk_refused"
    http_status = 503
    default_outcome = "unknown"


class MemoryFullError(LentilroadError):
    """The texts of stored turns take all memory that is meant for them."""

    code = "storage_memory_full"
    http_status = 503
