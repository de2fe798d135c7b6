"""Turns at an entry: request body, token reservation and stored record."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.conversation.allowance import GrantManager
from lentilroad.conversation.client import StorageClient
from lentilroad.conversation.const import HISTORY_CACHE_BYTES
from lentilroad.conversation.messages import TurnRecord
from lentilroad.process.events import log_event
from lentilroad.request.event_stream import EventReader
from lentilroad.request.inbound import InboundRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class History:
    """All inputs and outputs of a chain of turns.

    Attributes
    ----------
    text : bytes
        Input and output of each turn, oldest first.
    instance_id : str
        Upstream instance that ran the newest turn.
    conversation_id : str
        Id of the first turn; empty without turns.
    disks : frozenset of str
        Disks to which the turns may have been sent.
    kept_until_s : float
        Unix time until which each of the turns is retained without a further turn.
    """

    text: bytes
    instance_id: str
    conversation_id: str
    disks: frozenset[str]
    kept_until_s: float


_NO_HISTORY = History(
    text=b"",
    instance_id="",
    conversation_id="",
    disks=frozenset(),
    kept_until_s=math.inf,
)


class HistoryCache:
    """LRU cache of the histories of recent turns.

    Parameters
    ----------
    max_bytes : int
        Maximum total size of the cached texts.
    """

    __slots__ = ("_cached_bytes", "_entries", "_max_bytes")

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._cached_bytes = 0
        self._entries: OrderedDict[str, History] = OrderedDict()

    def get(self, turn_id: str) -> History | None:
        """Return the history that ends with a turn."""
        history = self._entries.get(turn_id)
        if history is not None:
            self._entries.move_to_end(turn_id)
        return history

    def put(self, turn_id: str, history: History) -> None:
        """Cache the history that ends with a turn."""
        replaced = self._entries.pop(turn_id, None)
        if replaced is not None:
            self._cached_bytes -= len(replaced.text)
        self._entries[turn_id] = history
        self._cached_bytes += len(history.text)
        while self._cached_bytes > self._max_bytes and self._entries:
            _, evicted = self._entries.popitem(last=False)
            self._cached_bytes -= len(evicted.text)


class Turn:
    """One turn in flight; created by `TurnManager.begin`.

    Attributes
    ----------
    body : bytes
        Request body for the upstream instance: the history and the caller's body.
    preferred_instance : str
        Instance that ran the previous turn; empty if unknown.
    events : EventReader
        Reader of the events that are forwarded to the caller.
    """

    __slots__ = (
        "_cache",
        "_clock",
        "_event_tokens",
        "_history",
        "_inbound",
        "_retention_s",
        "_storage",
        "body",
        "events",
        "preferred_instance",
    )

    def __init__(
        self,
        *,
        inbound: InboundRequest,
        history: History,
        retention_s: float | None,
        event_tokens: int,
        storage: StorageClient,
        cache: HistoryCache,
        clock: Clock,
    ) -> None:
        self._inbound = inbound
        self._retention_s = retention_s
        self._event_tokens = event_tokens
        self._storage = storage
        self._cache = cache
        self._clock = clock
        self._history = history
        self.events = EventReader(collect_output=retention_s is not None)
        self.body = history.text + inbound.body
        self.preferred_instance = history.instance_id

    def used_tokens(self) -> int:
        """Return the number of tokens that were sent to the caller."""
        return self.events.event_count * self._event_tokens

    async def store(self, instance_id: str) -> None:
        """Store the finished turn if its conversation is retained.

        Raises
        ------
        UnavailableError
            Too few storage members stored the turn.
        """
        if self._retention_s is None:
            return
        inbound = self._inbound
        history = self._history
        turn_id = inbound.scoped(inbound.request_id)
        conversation_id = history.conversation_id or turn_id
        output = bytes(self.events.output)
        kept_until_s = self._clock.time_s() + self._retention_s
        record = TurnRecord(
            turn_id=turn_id,
            previous_id=inbound.scoped(inbound.previous_turn_id),
            input=inbound.body,
            output=output,
            instance_id=instance_id,
            holders=[],
            retention_s=self._retention_s,
            conversation_id=conversation_id,
            conversation_disks=sorted(history.disks),
            kept_until_s=history.kept_until_s if inbound.previous_turn_id else 0.0,
        )
        await self._storage.put_turn(
            record, key=inbound.scoped(inbound.program_id) or turn_id
        )
        self._cache.put(
            turn_id,
            History(
                text=self.body + output,
                instance_id=instance_id,
                conversation_id=conversation_id,
                disks=history.disks.union(record.holders),
                kept_until_s=min(history.kept_until_s, kept_until_s),
            ),
        )


class TurnManager:
    """Starts turns: reserves their tokens and reads their conversation's history.

    Parameters
    ----------
    storage : StorageClient
        Client of the storage members.
    grant_manager : GrantManager
        Token grants of this entry.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_cache", "_clock", "_grant_manager", "_storage")

    def __init__(
        self, *, storage: StorageClient, grant_manager: GrantManager, clock: Clock
    ) -> None:
        self._clock = clock
        self._storage = storage
        self._grant_manager = grant_manager
        self._cache = HistoryCache(max_bytes=HISTORY_CACHE_BYTES)

    @asynccontextmanager
    async def begin(
        self, inbound: InboundRequest, retention_s: float | None, event_tokens: int
    ) -> AsyncIterator[Turn]:
        """Reserve the turn's tokens and read the turns that precede it.

        Programs and turns belong to customers: another customer's turn does not exist
        for a request, and an id names another program for each customer.

        Budgets belong to programs: tokens are counted whether or not the conversation
        is retained.

        Parameters
        ----------
        inbound : InboundRequest
            Request of the turn.
        retention_s : float or None
            Retention of the turn in seconds; None if conversations are not retained.
        event_tokens : int
            Number of tokens per event.

        Raises
        ------
        BudgetExhaustedError
            The program's remaining budget is too small for the turn.
        NotFoundError
            The previous turn does not exist.
        UnavailableError
            Too few storage members replied.
        """
        # The history is read concurrently with the reservation of tokens.
        history_task = None
        if retention_s is not None and inbound.previous_turn_id:
            history_task = asyncio.ensure_future(self._read_history(inbound))
        reserved = False
        turn: Turn | None = None
        try:
            if inbound.has_token_budget() and inbound.budget_tokens is not None:
                await self._grant_manager.acquire(
                    inbound.scoped(inbound.program_id),
                    inbound.max_output_tokens,
                    inbound.budget_tokens,
                    retention_s=retention_s or 0.0,
                )
                reserved = True
            turn = Turn(
                inbound=inbound,
                history=_NO_HISTORY if history_task is None else await history_task,
                retention_s=retention_s,
                event_tokens=event_tokens,
                storage=self._storage,
                cache=self._cache,
                clock=self._clock,
            )
            yield turn
        finally:
            if history_task is not None:
                _cancel_unread(history_task)
            if reserved:
                self._grant_manager.release(
                    inbound.scoped(inbound.program_id),
                    inbound.max_output_tokens,
                    turn.used_tokens() if turn is not None else 0,
                )

    async def _read_history(self, inbound: InboundRequest) -> History:
        previous_id = inbound.scoped(inbound.previous_turn_id)
        cached = self._cache.get(previous_id)
        if cached is not None:
            return cached
        records = await self._storage.read_chain(
            previous_id, key=inbound.scoped(inbound.program_id) or previous_id
        )
        log_event(
            "history_read",
            request=inbound.request_id,
            turn=inbound.previous_turn_id,
            turns=len(records),
        )
        history = History(
            text=_join_records(reversed(records)),
            instance_id=records[0].instance_id,
            conversation_id=records[0].conversation_id or records[-1].turn_id,
            disks=frozenset().union(*(record.holders for record in records)),
            kept_until_s=min(
                record.written_s + record.retention_s for record in records
            ),
        )
        self._cache.put(previous_id, history)
        return history


def _join_records(records: Iterable[TurnRecord]) -> bytes:
    return b"".join(record.input + record.output for record in records)


def _cancel_unread(task: asyncio.Task[History]) -> None:
    if not task.done():
        task.cancel()
    elif not task.cancelled():
        # Retrieves the exception of a read that was not awaited because the reservation
        # failed first; asyncio would log it otherwise.
        task.exception()
