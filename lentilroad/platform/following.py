"""Helpers that the entry and the storage process share."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

import msgspec

from lentilroad.clock import Clock
from lentilroad.conversation.members import MemberMap, decode_members
from lentilroad.platform.metadata import Listing, StoredItem
from lentilroad.process.events import log_event

MEMBERS_KEY = "lentilroad/storage"
# While a deployment starts, each storage process changes the list once; without a pause
# every change would cost a call by every process. A process that needs a newer list
# at once receives it from a storage member.
MEMBERS_WATCH_PAUSE_S = 1.0


def sigterm_event() -> asyncio.Event:
    """Return an event that is set by SIGTERM; SIGHUP only logs a line."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    # No setting can change while the process runs.
    loop.add_signal_handler(
        signal.SIGHUP,
        lambda: log_event("reload", outcome="no setting can change at run time"),
    )
    return stop


async def run_periodically(
    step: Callable[[], Awaitable[None]], interval_s: float, clock: Clock
) -> None:
    """Run `step` every `interval_s` seconds; never returns."""
    while True:
        await clock.sleep(interval_s)
        await step()


def apply_items(listing: Listing, on_item: Callable[[StoredItem], None]) -> None:
    """Call `on_item` with each item of a listing."""
    for item in listing.items:
        on_item(item)


def member_map_callback(
    on_map: Callable[[MemberMap], None],
) -> Callable[[StoredItem], None]:
    """Return a callback that decodes the member list and passes it to `on_map`."""

    def on_item(item: StoredItem) -> None:
        if item.key != MEMBERS_KEY or item.removed:
            return
        try:
            members = decode_members(item.content())
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("members_unreadable", revision=item.revision, error=str(error))
            return
        on_map(MemberMap(version=item.revision, member_list=members))

    return on_item
