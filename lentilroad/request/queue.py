"""Priority queue of the calls for one upstream."""

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
    QueueEntry,
    QueueSettings,
    RunningCall,
)
from lentilroad.wire.messages import Priority

__all__ = ["CallQueue", "CallSize", "QueueSettings"]


class CallQueue(Generic[CallT]):
    """Queue that decides which call runs next and which calls are refused.

    Calls are ordered by rank, a point in time: the arrival of the call, plus a share
    of the program's attained service (bounded, so that every call ages to the
    front), plus a delay for new programs, minus an advance for interactive calls and
    sub-agents, and at the latest the time at which the call must start to meet its
    deadline. Between callers, start-time fair queueing bounds how much more service
    one caller can receive than another.

    All methods are synchronous and start no task.

    Parameters
    ----------
    clock : Clock
        Source of time; deadlines are on its monotonic clock.
    concurrency : ConcurrencyLimit
        Limit of the running calls; the queue acquires and releases its slots.
    settings : QueueSettings, optional
        Order and bounds.
    """

    __slots__ = (
        "_callers",
        "_clock",
        "_concurrency",
        "_entries",
        "_last_late_check_s",
        "_mean_service_s",
        "_memory_tokens",
        "_prefill_tokens",
        "_prefill_tokens_per_s",
        "_refused",
        "_running",
        "_running_tokens",
        "_sequence",
        "_settings",
        "_under_way_tokens",
        "_virtual_time_s",
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
        self._entries: dict[CallT, QueueEntry[CallT]] = {}
        self._running: dict[CallT, RunningCall] = {}
        self._prefill_tokens = 0
        self._running_tokens = 0
        self._memory_tokens: int | None = None
        self._under_way_tokens = 0
        self._prefill_tokens_per_s = const.DEFAULT_PREFILL_TOKENS_PER_S
        self._refused: list[tuple[CallT, OverloadedError]] = []
        self._sequence = 0
        self._mean_service_s = const.DEFAULT_SERVICE_S
        self._virtual_time_s = 0.0
        self._last_late_check_s = clock.monotonic_s()

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)

    @property
    def service_s(self) -> float:
        """Moving average of the time that a call runs at the upstream."""
        return self._mean_service_s

    def expected_wait_s(self, *, position: int | None = None) -> float:
        """Return the expected wait of a call behind `position` waiting calls.

        The default position is the end of the queue.
        """
        ahead = len(self._entries) if position is None else position
        in_flight = self._concurrency.in_flight
        limit = max(1, self._concurrency.limit)
        if self._entries and 0 < in_flight < limit:
            # Calls wait although slots are free: memory or prefill is the bottleneck.
            limit = in_flight
        finishes_needed = ahead + 1 + in_flight - limit
        return max(0, finishes_needed) * self._mean_service_s / limit

    def set_upstream(
        self,
        *,
        memory_tokens: int | None,
        under_way_tokens: int = 0,
        prefill_tokens_per_s: float = 0.0,
    ) -> None:
        """Apply the upstream's latest load report.

        Parameters
        ----------
        memory_tokens : int, optional
            Memory for running calls and cached prefixes; None for unbounded memory.
        under_way_tokens : int
            Part of the memory that programs under way hold, running or paused.
        prefill_tokens_per_s : float
            Measured prefill rate; 0 retains the previous rate.
        """
        self._memory_tokens = memory_tokens
        self._under_way_tokens = under_way_tokens
        if prefill_tokens_per_s > 0.0:
            self._prefill_tokens_per_s = prefill_tokens_per_s

    def push(
        self,
        call: CallT,
        *,
        priority: Priority,
        deadline_s: float | None = None,
        size: CallSize | None = None,
    ) -> int:
        """Queue a call, or refuse it at once.

        If the queue is full, a call of a program under way displaces the waiting call
        of a new program that has the latest rank.

        Parameters
        ----------
        call : CallT
            The call or its id: hashable, and queued or running at most once at a time.
        priority : Priority
            Caller, program and urgency, which determine the rank.
        deadline_s : float, optional
            Deadline on the monotonic clock, in seconds.
        size : CallSize, optional
            Tokens to prefill and to hold in memory.

        Returns
        -------
        int
            Number of waiting calls that are ranked ahead.

        Raises
        ------
        OverloadedError
            The expected wait exceeds the deadline or the bound for new programs, the
            queue is full, or programs under way fill the memory. The call did not
            run.
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
            self._refuse_last_new_program(wait_s)
        entry = QueueEntry(
            call=call,
            priority=priority,
            rank_s=rank_s,
            deadline_s=deadline_s,
            size=size,
        )
        self._entries[call] = entry
        self._sequence += 1
        heap = self._caller_queue(priority.caller_id).heap
        heappush(heap, (rank_s, self._sequence, entry))
        return position

    def pop_ready(self) -> CallT | None:
        """Return the next call and acquire a slot, None if no call can start.

        `finished` must be called exactly once for every returned call.
        """
        self._refuse_late()
        if not self._entries or self._prefill_tokens >= (
            self._settings.prefill_tokens_max
        ):
            return None
        caller_id, caller = self._next_caller()
        entry = caller.heap[0][2]
        if not self._fits_memory(entry.size) or not self._concurrency.try_acquire():
            return None
        heappop(caller.heap)
        self._pop_removed(caller)
        del self._entries[entry.call]
        self._virtual_time_s = max(self._virtual_time_s, caller.start_tag_s)
        caller.start_tag_s += self._mean_service_s
        caller.running += 1
        self._running[entry.call] = RunningCall(
            caller_id=caller_id, charged_s=self._mean_service_s, size=entry.size
        )
        self._prefill_tokens += entry.size.prefill_tokens
        self._running_tokens += entry.size.memory_tokens
        return entry.call

    def first_token(self, call: CallT) -> None:
        """Record that the upstream has computed the prompt of a running call.

        The freed prefill tokens may let `pop_ready` return another call.
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
        """Release the slot of a call that `pop_ready` returned.

        Parameters
        ----------
        call : CallT
            The call that ended, successfully or not.
        service_s : float
            Time that the call ran at the upstream.
        succeeded : bool
            Whether `service_s` updates the mean service time.
        time_per_token_s : float, optional
            Mean time between the call's tokens; None if it cannot be computed.
        engine_queue_s : float
            First-token time beyond the expected prefill time.
        """
        self._concurrency.release(
            time_per_token_s=time_per_token_s, engine_queue_s=engine_queue_s
        )
        if succeeded:
            weight = const.SERVICE_EWMA_WEIGHT
            self._mean_service_s += weight * (service_s - self._mean_service_s)
        self.first_token(call)
        running = self._running.pop(call)
        self._running_tokens -= running.size.memory_tokens
        caller = self._callers[running.caller_id]
        caller.running -= 1
        caller.start_tag_s += service_s - running.charged_s
        if caller.running == 0 and not caller.heap:
            self._remove_idle(running.caller_id, caller)

    @property
    def waiting_tokens(self) -> int:
        """Tokens that the waiting calls will hold in memory."""
        return sum(entry.size.memory_tokens for entry in self._entries.values())

    def remove(self, call: CallT) -> bool:
        """Remove a call from the queue; return whether it was waiting."""
        entry = self._entries.pop(call, None)
        if entry is None:
            return False
        entry.waiting = False
        caller_id = entry.priority.caller_id
        caller = self._callers[caller_id]
        self._pop_removed(caller)
        if caller.running == 0 and not caller.heap:
            self._remove_idle(caller_id, caller)
        return True

    def refuse_all(self, message: str) -> None:
        """Refuse every waiting call, for example because the upstream hangs."""
        for entry in list(self._entries.values()):
            self._refuse(entry, message, self._mean_service_s)

    def take_refused(self) -> list[tuple[CallT, OverloadedError]]:
        """Return and clear the calls that were refused while waiting, with their error.

        The runner calls this after each `push` and `pop_ready` and twice a second.
        """
        self._refuse_late()
        refused = self._refused
        self._refused = []
        return refused

    def _fits_memory(self, size: CallSize) -> bool:
        if self._memory_tokens is None or not self._running:
            return True
        limit_tokens = self._settings.running_memory_share * self._memory_tokens
        return self._running_tokens + size.memory_tokens <= limit_tokens

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
        rank_s += (
            settings.prefill_weight * size.prefill_tokens / self._prefill_tokens_per_s
        )
        if not priority.under_way:
            rank_s += settings.new_program_delay_s
        if priority.interactive:
            rank_s -= settings.interactive_advance_s
        rank_s -= settings.depth_advance_s * min(priority.remaining_depth, 4)
        if deadline_s is not None:
            rank_s = min(rank_s, deadline_s - self._mean_service_s)
        return rank_s

    def _is_late(self, now_s: float, wait_s: float, deadline_s: float | None) -> bool:
        if deadline_s is None:
            return False
        # The mean service time predicts a single call poorly, so it is not held against
        # a call that can start at once.
        needed_s = wait_s + self._mean_service_s if wait_s > 0.0 else 0.0
        return now_s + needed_s >= deadline_s

    def _check_new_program(self, wait_s: float) -> None:
        settings = self._settings
        if len(self._entries) >= settings.calls_max * settings.new_program_share:
            raise self._overloaded("the queue is full for new programs", wait_s)
        if wait_s > settings.new_program_wait_max_s:
            raise self._overloaded(
                "the expected wait is too long for a new program", wait_s
            )
        if self._memory_tokens is None:
            return
        limit_tokens = settings.new_program_memory_share * self._memory_tokens
        if self._under_way_tokens > limit_tokens:
            raise self._overloaded(
                "programs under way fill the upstream's memory", wait_s
            )

    def _refuse_last_new_program(self, wait_s: float) -> None:
        candidates = [e for e in self._entries.values() if not e.priority.under_way]
        if not candidates:
            raise self._overloaded("the queue is full", wait_s)
        last = max(reversed(candidates), key=lambda entry: entry.rank_s)
        self._refuse(last, "the queue is full", wait_s)

    def _refuse_late(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._last_late_check_s < const.LATE_CHECK_INTERVAL_S:
            return
        self._last_late_check_s = now_s
        ordered = sorted(self._entries.values(), key=lambda entry: entry.rank_s)
        position = 0
        for entry in ordered:
            wait_s = self.expected_wait_s(position=position)
            if self._is_late(now_s, wait_s, entry.deadline_s):
                self._refuse(
                    entry, "the call can no longer finish before its deadline", wait_s
                )
                continue
            position += 1

    def _refuse(self, entry: QueueEntry[CallT], message: str, wait_s: float) -> None:
        if self.remove(entry.call):
            self._refused.append((entry.call, self._overloaded(message, wait_s)))

    def _next_caller(self) -> tuple[str, CallerQueue[CallT]]:
        waiting = [(i, c) for i, c in self._callers.items() if c.heap]
        lowest_tag_s = min(caller.start_tag_s for _, caller in waiting)
        bound_s = lowest_tag_s + self._settings.fairness_slack_s
        eligible = [(i, c) for i, c in waiting if c.start_tag_s <= bound_s]
        return min(eligible, key=lambda item: item[1].heap[0][:2])

    def _caller_queue(self, caller_id: str) -> CallerQueue[CallT]:
        caller = self._callers.get(caller_id)
        if caller is None:
            caller = self._callers[caller_id] = CallerQueue(
                start_tag_s=self._virtual_time_s
            )
        elif not caller.heap and caller.running == 0:
            caller.start_tag_s = max(caller.start_tag_s, self._virtual_time_s)
        return caller

    def _pop_removed(self, caller: CallerQueue[CallT]) -> None:
        while caller.heap and not caller.heap[0][2].waiting:
            heappop(caller.heap)

    def _remove_idle(self, caller_id: str, caller: CallerQueue[CallT]) -> None:
        # A caller whose tag is ahead of the virtual time is retained, since it could
        # otherwise reset its tag by pausing for a moment.
        if caller.start_tag_s <= self._virtual_time_s or not self._entries:
            del self._callers[caller_id]

    def _overloaded(self, message: str, wait_s: float) -> OverloadedError:
        retry_after_ms = int(1000.0 * max(wait_s, self._mean_service_s / 2.0))
        retry_after_ms = max(const.RETRY_AFTER_MIN_MS, retry_after_ms)
        return OverloadedError(
            f"{message}; retry after the given time or extend the deadline",
            retry_after_ms=min(const.RETRY_AFTER_MAX_MS, retry_after_ms),
        )
