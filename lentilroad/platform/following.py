"""Helpers that the entry and the storage process share."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from lentilroad.clock import Clock
from lentilroad.conversation.members import MemberList, MemberMap, decode_members
from lentilroad.membership.list_messages import ListItem
from lentilroad.process.events import log_event
from lentilroad.wire.untrusted import UnreadableError, is_socket_address

MEMBERS_KEY = "lentilroad/storage"


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


def for_each(on_item: Callable[[ListItem], None]) -> Callable[[list[ListItem]], None]:
    """Return a callback that calls `on_item` with each item."""

    def on_items(items: list[ListItem]) -> None:
        for item in items:
            on_item(item)

    return on_items


def decode_stored_members(content: bytes) -> MemberList:
    """Decode the member list in the store; raise `UnreadableError` if it is invalid."""
    member_list = decode_members(content)
    for member in member_list.members:
        if not is_socket_address(member.address):
            raise UnreadableError(
                f"the address {member.address!r} of storage member {member.node} is "
                "not of the form ip:port; write a corrected list"
            )
    return member_list


def member_map_callback(
    on_map: Callable[[MemberMap], None],
) -> Callable[[ListItem], None]:
    """Return a callback that decodes the member list and passes it to `on_map`."""

    def on_item(item: ListItem) -> None:
        if item.key != MEMBERS_KEY or item.removed:
            return
        try:
            members = decode_stored_members(item.content)
        except UnreadableError as error:
            log_event("members_unreadable", revision=item.revision, error=str(error))
            return
        on_map(MemberMap(version=item.revision, member_list=members))

    return on_item
