"""Priority queue in front of one upstream."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Generic

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError
from lentilroad.request import const
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.request.queue_entries import (
    CallerQueue,
    CallSize,
    CallT,
    Entry,
    QueueSettings,
    RunningCall,
)
from lentilroad.wire.messages import Priority

__all__ = ["CallQueue", "CallSize", "QueueSettings"]


class CallQueue(Generic[CallT]):
    """Queue that decides which call runs next and which one is refused.

    The order is the rank of a call, a point in time: its arrival, later by a share
    of the program's attained service (bounded, so that every call ages to the
    front), later for new programs, earlier for interactive calls and sub-agents,
    and never later than its deadline allows. Between callers, start-time fair
    queueing bounds how much service one can be ahead of another.

    All methods are synchronous; the object starts no task.

    Parameters
    ----------
    clock : Clock
        Source of time; deadlines are on its monotonic clock.
    concurrency : ConcurrencyLimit
        Limit of the running calls; the queue takes and returns its slots.
    settings : QueueSettings, optional
        Order and bounds.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_concurrency",
        "_entries",
        "_last_check_s",
        "_memory_tokens",
        "_prefill_rate",
        "_prefill_tokens",
        "_refused",
        "_running",
        "_sequence",
        "_service_s",
        "_settings",
        "_under_way_tokens",
        "_used_tokens",
        "_virtual_s",
    )

    def __init__(
        self,
        *,
        clock: Clock,
        concurrency: ConcurrencyLimit,
        settings: QueueSettings | None = None,
    ) -> None:
        self._clock = clock
        self._concurrency = concurrency
        self._settings = settings or QueueSettings()
        self._callers: dict[str, CallerQueue[CallT]] = {}
        self._entries: dict[CallT, Entry[CallT]] = {}
        self._running: dict[CallT, RunningCall] = {}
        self._prefill_tokens = 0
        self._used_tokens = 0
        self._memory_tokens: int | None = None
        self._under_way_tokens = 0
        self._prefill_rate = const.DEFAULT_PREFILL_TOKENS_PER_S
        self._refused: list[tuple[CallT, OverloadedError]] = []
        self._sequence = 0
        self._service_s = const.DEFAULT_SERVICE_S
        self._virtual_s = 0.0
        self._last_check_s = clock.monotonic_s()

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    @property
    def service_s(self) -> float:
        """Mean time that a call runs at the upstream."""
        return self._service_s

    def expected_wait_s(self, *, position: int | None = None) -> float:
        """Return the expected wait of a call behind `position` waiting ones."""
        ahead = len(self._entries) if position is None else position
        in_flight = self._concurrency.in_flight
        limit = max(1, self._concurrency.limit)
        if self._entries and 0 < in_flight < limit:
            # Memory or prefill keeps calls waiting although slots are free.
            limit = in_flight
        behind = ahead + 1 + in_flight - limit
        return max(0, behind) * self._service_s / limit

    def set_upstream(
        self,
        *,
        memory_tokens: int | None,
        under_way_tokens: int = 0,
        prefill_tokens_per_s: float = 0.0,
    ) -> None:
        """Take over what the upstream last reported.

        Parameters
        ----------
        memory_tokens : int, optional
            Memory for running calls and cached prefixes; None sets no bound.
        under_way_tokens : int
            Part of it held by programs under way, running or paused.
        prefill_tokens_per_s : float
            Measured rate; 0 keeps the last one.
        """
        self._memory_tokens = memory_tokens
        self._under_way_tokens = under_way_tokens
        if prefill_tokens_per_s > 0.0:
            self._prefill_rate = prefill_tokens_per_s

    def push(
        self,
        call: CallT,
        *,
        priority: Priority,
        deadline_s: float | None = None,
        size: CallSize | None = None,
    ) -> int:
        """Queue a call, or refuse it at once.

        Parameters
        ----------
        call : CallT
            The call or its id: hashable, and queued or running once at a time.
        priority : Priority
            What orders the queue.
        deadline_s : float, optional
            Deadline on the monotonic clock, in seconds.
        size : CallSize, optional
            Tokens to compute and to hold.

        Returns
        -------
        int
            Number of waiting calls that are ahead.

        Raises
        ------
        OverloadedError
            The wait does not fit the deadline or the queue is full. The call did
            not run.
        """
        size = size or CallSize()
        now_s = self._clock.monotonic_s()
        rank_s = self._rank_s(priority, now_s, deadline_s, size)
        position = sum(1 for e in self._entries.values() if e.rank_s <= rank_s)
        wait_s = self.expected_wait_s(position=position)
        if self._is_late(now_s, wait_s, deadline_s):
            raise self._overloaded("the call cannot finish before its deadline", wait_s)
        if not priority.under_way:
            self._check_new_program(wait_s)
        elif len(self._entries) >= self._settings.calls_max:
            self._displace_new_program(wait_s)
        entry = Entry(
            call=call,
            priority=priority,
            rank_s=rank_s,
            deadline_s=deadline_s,
            size=size,
        )
        self._entries[call] = entry
        self._sequence += 1
        heap = self._caller(priority.caller_id).heap
        heappush(heap, (rank_s, self._sequence, entry))
        return position

    def pop_ready(self) -> CallT | None:
        """Return the next call if a slot is free, and take the slot.

        The runner calls `finished` once for every call returned here.
        """
        self._refuse_late()
        if not self._entries or self._prefill_tokens >= (
            self._settings.prefill_tokens_max
        ):
            return None
        caller_id, caller = self._next_caller()
        entry = caller.heap[0][2]
        if not self._fits(entry.size) or not self._concurrency.try_acquire():
            return None
        heappop(caller.heap)
        self._drop_removed(caller)
        del self._entries[entry.call]
        self._virtual_s = max(self._virtual_s, caller.tag_s)
        caller.tag_s += self._service_s
        caller.running += 1
        self._running[entry.call] = RunningCall(
            caller_id=caller_id, charged_s=self._service_s, size=entry.size
        )
        self._prefill_tokens += entry.size.prefill_tokens
        self._used_tokens += entry.size.memory_tokens
        return entry.call

    def first_token(self, call: CallT) -> None:
        """Record that the upstream has computed the prompt of a running call.

        Another call may be ready then.
        """
        running = self._running.get(call)
        if running is not None and running.in_prefill:
            running.in_prefill = False
            self._prefill_tokens -= running.size.prefill_tokens

    def finished(
        self,
        call: CallT,
        *,
        service_s: float,
        succeeded: bool = True,
        time_per_token_s: float | None = None,
        engine_queue_s: float = 0.0,
    ) -> None:
        """Give back the slot of a call that `pop_ready` returned.

        Parameters
        ----------
        call : CallT
            The call that ended, for whatever reason.
        service_s : float
            Time that it ran at the upstream.
        succeeded : bool
            Whether the time counts towards the expected service time.
        time_per_token_s : float, optional
            Mean time between its tokens; None when it has no meaning.
        engine_queue_s : float
            First-token time beyond the expected prefill time.
        """
        self._concurrency.release(
            time_per_token_s=time_per_token_s, engine_queue_s=engine_queue_s
        )
        if succeeded:
            weight = const.SERVICE_EWMA_WEIGHT
            self._service_s += weight * (service_s - self._service_s)
        self.first_token(call)
        running = self._running.pop(call)
        self._used_tokens -= running.size.memory_tokens
        caller = self._callers[running.caller_id]
        caller.running -= 1
        caller.tag_s += service_s - running.charged_s
        if caller.running == 0 and not caller.heap:
            self._forget_idle(running.caller_id, caller)

    @property
    def waiting_tokens(self) -> int:
        """Tokens that the waiting calls will hold."""
        return sum(entry.size.memory_tokens for entry in self._entries.values())

    def remove(self, call: CallT) -> bool:
        """Drop a waiting call that was cancelled; return whether it was waiting."""
        entry = self._entries.pop(call, None)
        if entry is None:
            return False
        entry.waiting = False
        caller_id = entry.priority.caller_id
        caller = self._callers[caller_id]
        self._drop_removed(caller)
        if caller.running == 0 and not caller.heap:
            self._forget_idle(caller_id, caller)
        return True

    def refuse_all(self, message: str) -> None:
        """Refuse every waiting call, for example when the upstream hangs."""
        for entry in list(self._entries.values()):
            self._refuse(entry, message, self._service_s)

    def pop_refused(self) -> list[tuple[CallT, OverloadedError]]:
        """Return the calls refused since they were queued, with their error.

        The runner asks after each `push` and `pop_ready` and twice a second.
        """
        self._refuse_late()
        refused = self._refused
        self._refused = []
        return refused

    def _fits(self, size: CallSize) -> bool:
        if self._memory_tokens is None or not self._running:
            return True
        room = self._settings.running_memory_share * self._memory_tokens
        return self._used_tokens + size.memory_tokens <= room

    def _rank_s(
        self,
        priority: Priority,
        now_s: float,
        deadline_s: float | None,
        size: CallSize,
    ) -> float:
        settings = self._settings
        attained_s = min(priority.attained_service_s, settings.attained_cap_s)
        rank_s = now_s + settings.attained_weight * attained_s
        rank_s += settings.prefill_weight * size.prefill_tokens / self._prefill_rate
        if not priority.under_way:
            rank_s += settings.new_program_delay_s
        if priority.interactive:
            rank_s -= settings.interactive_advance_s
        rank_s -= settings.depth_advance_s * min(priority.remaining_depth, 4)
        if deadline_s is not None:
            rank_s = min(rank_s, deadline_s - self._service_s)
        return rank_s

    def _is_late(self, now_s: float, wait_s: float, deadline_s: float | None) -> bool:
        if deadline_s is None:
            return False
        # The mean says little about one call, so a call that need not wait may try.
        needed_s = wait_s + self._service_s if wait_s > 0.0 else 0.0
        return now_s + needed_s >= deadline_s

    def _check_new_program(self, wait_s: float) -> None:
        settings = self._settings
        if len(self._entries) >= settings.calls_max * settings.new_program_share:
            raise self._overloaded("the queue takes no new programs", wait_s)
        if wait_s > settings.new_program_wait_max_s:
            raise self._overloaded("the wait is too long for a new program", wait_s)
        if self._memory_tokens is None:
            return
        room = settings.new_program_memory_share * self._memory_tokens
        if self._under_way_tokens > room:
            raise self._overloaded("programs under way fill the memory", wait_s)

    def _displace_new_program(self, wait_s: float) -> None:
        new = [e for e in self._entries.values() if not e.priority.under_way]
        if not new:
            raise self._overloaded("the queue is full", wait_s)
        last = max(reversed(new), key=lambda entry: entry.rank_s)
        self._refuse(last, "the queue is full", wait_s)

    def _refuse_late(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._last_check_s < const.LATE_CHECK_INTERVAL_S:
            return
        self._last_check_s = now_s
        ordered = sorted(self._entries.values(), key=lambda entry: entry.rank_s)
        position = 0
        for entry in ordered:
            wait_s = self.expected_wait_s(position=position)
            if self._is_late(now_s, wait_s, entry.deadline_s):
                self._refuse(entry, "the call cannot finish in time any more", wait_s)
                continue
            position += 1

    def _refuse(self, entry: Entry[CallT], message: str, wait_s: float) -> None:
        if self.remove(entry.call):
            self._refused.append((entry.call, self._overloaded(message, wait_s)))

    def _next_caller(self) -> tuple[str, CallerQueue[CallT]]:
        waiting = [(i, c) for i, c in self._callers.items() if c.heap]
        least_s = min(caller.tag_s for _, caller in waiting)
        bound_s = least_s + self._settings.fairness_slack_s
        eligible = [(i, c) for i, c in waiting if c.tag_s <= bound_s]
        return min(eligible, key=lambda item: item[1].heap[0][:2])

    def _caller(self, caller_id: str) -> CallerQueue[CallT]:
        caller = self._callers.get(caller_id)
        if caller is None:
            caller = self._callers[caller_id] = CallerQueue(tag_s=self._virtual_s)
        elif not caller.heap and caller.running == 0:
            caller.tag_s = max(caller.tag_s, self._virtual_s)
        return caller

    def _drop_removed(self, caller: CallerQueue[CallT]) -> None:
        while caller.heap and not caller.heap[0][2].waiting:
            heappop(caller.heap)

    def _forget_idle(self, caller_id: str, caller: CallerQueue[CallT]) -> None:
        # A caller that is ahead keeps its tag, or it could reset its share by
        # pausing for a moment.
        if caller.tag_s <= self._virtual_s or not self._entries:
            del self._callers[caller_id]

    def _overloaded(self, message: str, wait_s: float) -> OverloadedError:
        retry_after_ms = int(1000.0 * max(wait_s, self._service_s / 2.0))
        retry_after_ms = max(const.RETRY_AFTER_MIN_MS, retry_after_ms)
        return OverloadedError(
            f"{message}; retry after the given time or extend the deadline",
            retry_after_ms=min(const.RETRY_AFTER_MAX_MS, retry_after_ms),
        )
