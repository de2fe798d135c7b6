"""Reading of lists from the platform's metadata store."""

from __future__ import annotations

import asyncio
from typing import NoReturn

from lentilroad.clock import Clock
from lentilroad.membership.list_copy import ListCopy
from lentilroad.membership.list_exchange import MAX_AGE_S, ListExchange
from lentilroad.membership.list_messages import ListItem
from lentilroad.platform.metadata import (
    HistoryLostError,
    MetadataClient,
    MetadataError,
)
from lentilroad.process.events import log_event

# Waiting time of a check by a coordinator. Together with the grace it bounds the time
# until a coordinator notices that its connection returns nothing further.
CHECK_WAIT_S = 0.5
CHECK_GRACE_S = 0.5
# The grace grows with each timeout and shrinks with each response, so that a slow store
# is not taken for a silent one.
MAX_CHECK_GRACE_S = 1.5
CHECK_GRACE_GROWTH = 1.5
CHECK_GRACE_DECAY = 0.9
# Changes in quick succession are read by one call.
CHECK_PAUSE_S = 0.2
POLL_INTERVAL_S = 0.1
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
WATCH_WAIT_S = 29.0
WATCH_GRACE_S = 2.0
WATCH_POLL_INTERVAL_S = 0.5
# A sound watch returns a change at about the time at which the coordinators read it.
WATCH_LAG_S = 0.7
# Leases last several seconds; none expires during a shorter outage.
MIN_REPORTED_OUTAGE_S = 1.0
# Matches the keys of all lists, so that one call checks all copies.
ALL_KEYS = ""


class ListReader:
    """Keeps copies of lists current by calls to the store.

    A coordinator always has a check under way: a watch of all keys that waits for half
    a second. Another process checks its copies only if they were compared neither with
    the store nor with a coordinator's for `MAX_AGE_S`.

    Parameters
    ----------
    client : MetadataClient
        Client of the store.
    exchange : ListExchange
        Copies of this process, and whether it is a coordinator.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, client: MetadataClient, exchange: ListExchange, clock: Clock
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._clock = clock
        self._outage_started_s: float | None = None
        self._grace_s = CHECK_GRACE_S

    async def check_regularly(self) -> NoReturn:
        """Load the copies and check them as often as required."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if not self._is_check_due():
                await self._clock.sleep(POLL_INTERVAL_S)
                continue
            try:
                await self._check()
                backoff_s = INITIAL_BACKOFF_S
            except MetadataError as error:
                self._record_failure(error)
                await self._clock.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def watch_closely(self, copy: ListCopy) -> NoReturn:
        """Watch one list in addition, so that each change is known at once."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            if not copy.loaded or copy.age_s() > MAX_AGE_S:
                # The store is unreachable; the check is repeated until it responds.
                await self._clock.sleep(POLL_INTERVAL_S)
                continue
            try:
                await self._watch(copy)
                backoff_s = INITIAL_BACKOFF_S
            except HistoryLostError:
                log_event(
                    "metadata_history_lost", list=copy.name, revision=copy.revision
                )
                await self._load_after_lost_history(copy)
            except MetadataError as error:
                log_event("metadata_watch_failed", list=copy.name, error=str(error))
                await self._clock.sleep(backoff_s)
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _is_check_due(self) -> bool:
        if self._exchange.is_coordinator():
            return True
        required = self._exchange.required_copies()
        return any(not copy.loaded or copy.age_s() > MAX_AGE_S for copy in required)

    async def _check(self) -> None:
        required = self._exchange.required_copies()
        missing = [copy for copy in required if not copy.loaded]
        if missing:
            await asyncio.gather(*(self._load(copy) for copy in missing))
            return
        if not required:
            await self._clock.sleep(POLL_INTERVAL_S)
            return
        after_revision = min(copy.revision for copy in required)
        wait_s = CHECK_WAIT_S if self._exchange.is_coordinator() else 0.0
        try:
            changes, revision = await self._client.watch(
                ALL_KEYS, after_revision, wait_s=wait_s, grace_s=self._grace_s
            )
        except HistoryLostError:
            log_event("metadata_history_lost", list=ALL_KEYS, revision=after_revision)
            await asyncio.gather(*(self._load(copy) for copy in required))
            return
        self._record_response()
        self._apply(required, changes, revision)
        if changes:
            await self._clock.sleep(CHECK_PAUSE_S)

    def _apply(
        self, copies: list[ListCopy], changes: list[ListItem], revision: int
    ) -> None:
        now_s = self._clock.monotonic_s()
        for copy in copies:
            copy.apply(changes, revision=revision, confirmed_at_s=now_s, source="check")

    async def _load(self, copy: ListCopy) -> None:
        began_s = self._clock.monotonic_s()
        listing = await self._client.read_prefix(copy.name)
        self._record_response()
        copy.replace(
            listing.items,
            revision=listing.revision,
            confirmed_at_s=began_s,
            source="list",
        )

    async def _load_after_lost_history(self, copy: ListCopy) -> None:
        try:
            await self._load(copy)
        except MetadataError as error:
            log_event("metadata_watch_failed", list=copy.name, error=str(error))
            await self._clock.sleep(INITIAL_BACKOFF_S)

    async def _watch(self, copy: ListCopy) -> None:
        after_revision = copy.revision
        watch = asyncio.ensure_future(
            self._client.watch(
                copy.name,
                after_revision,
                wait_s=WATCH_WAIT_S,
                grace_s=WATCH_GRACE_S,
            )
        )
        try:
            while not watch.done():
                await asyncio.wait({watch}, timeout=WATCH_POLL_INTERVAL_S)
                if not watch.done() and self._is_overtaken(copy, after_revision):
                    log_event(
                        "metadata_watch_replaced",
                        list=copy.name,
                        revision=after_revision,
                        changed_revision=copy.changed_revision,
                    )
                    return
        finally:
            watch.cancel()
        changes, revision = watch.result()
        copy.apply(
            changes,
            revision=revision,
            confirmed_at_s=self._clock.monotonic_s(),
            source="watch",
        )

    def _is_overtaken(self, copy: ListCopy, after_revision: int) -> bool:
        """Return whether a change became known that an open watch did not return."""
        since_change_s = self._clock.monotonic_s() - copy.changed_at_s
        return copy.changed_revision > after_revision and since_change_s > WATCH_LAG_S

    def _record_failure(self, error: MetadataError) -> None:
        self._grace_s = min(MAX_CHECK_GRACE_S, self._grace_s * CHECK_GRACE_GROWTH)
        if self._outage_started_s is None:
            self._outage_started_s = self._clock.monotonic_s()
            log_event(
                "metadata_lost",
                error=str(error),
                oldest_age_ms=int(1000 * min(self._exchange.oldest_age_s(), 3600.0)),
            )

    def _record_response(self) -> None:
        self._grace_s = max(CHECK_GRACE_S, self._grace_s * CHECK_GRACE_DECAY)
        if self._outage_started_s is None:
            return
        now_s = self._clock.monotonic_s()
        outage_s = now_s - self._outage_started_s
        self._outage_started_s = None
        log_event("metadata_regained", away_s=round(outage_s, 3))
        if outage_s >= MIN_REPORTED_OUTAGE_S:
            self._exchange.record_outage_end(now_s)
