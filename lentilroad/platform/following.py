"""What the programs on the platform's machines share."""

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
# While a deployment forms, each storage process changes the list once; without a pause
# every change would cost a call of every process. Who needs a newer list at once
# learns it from a member.
MEMBERS_WATCH_PAUSE_S = 1.0


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM sets."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    # The settings name only what is fixed for the life of the process.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: log_event("reload", outcome="nothing to change")
    )
    return stop


async def repeat(
    step: Callable[[], Awaitable[None]], interval_s: float, clock: Clock
) -> None:
    """Run `step` at an interval; never returns."""
    while True:
        await clock.sleep(interval_s)
        await step()


def note_all(listing: Listing, note: Callable[[StoredItem], None]) -> None:
    """Pass each item of a listing on."""
    for item in listing.items:
        note(item)


def members_reader(
    note_map: Callable[[MemberMap], None],
) -> Callable[[StoredItem], None]:
    """Return a callback that decodes the list of storage members."""

    def note(item: StoredItem) -> None:
        if item.key != MEMBERS_KEY or item.removed:
            return
        try:
            listed = decode_members(item.content())
        except (msgspec.MsgspecError, ValueError) as error:
            log_event("members_unreadable", revision=item.revision, error=str(error))
            return
        note_map(MemberMap(version=item.revision, member_list=listed))

    return note
