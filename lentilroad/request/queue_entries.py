"""Settings and entries of the priority queue."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from lentilroad.request import const
from lentilroad.wire.messages import Priority

CallT = TypeVar("CallT", bound=Hashable)


@dataclass(slots=True, kw_only=True)
class QueueSettings:
    """Ordering parameters and limits of a `CallQueue`; times are in seconds."""

    calls_max: int = const.QUEUE_CALLS_MAX
    new_program_share: float = const.NEW_PROGRAM_QUEUE_SHARE
    new_program_wait_max_s: float = const.NEW_PROGRAM_WAIT_MAX_S
    new_program_delay_s: float = const.NEW_PROGRAM_DELAY_S
    attained_cap_s: float = const.ATTAINED_SERVICE_CAP_S
    attained_weight: float = const.ATTAINED_SERVICE_WEIGHT
    prefill_weight: float = const.PREFILL_WEIGHT
    interactive_advance_s: float = const.INTERACTIVE_ADVANCE_S
    depth_advance_s: float = const.DEPTH_ADVANCE_S
    # Service by which a caller may be ahead of another caller that has waiting calls.
    fairness_slack_s: float = const.FAIRNESS_SLACK_S
    prefill_tokens_max: int = const.ENGINE_PREFILL_TOKENS_MAX
    running_memory_share: float = const.RUNNING_MEMORY_SHARE
    new_program_memory_share: float = const.NEW_PROGRAM_MEMORY_SHARE


@dataclass(slots=True, kw_only=True, frozen=True)
class CallSize:
    """Tokens of a call; the token limits have no effect while all sizes are 0."""

    # Prompt tokens that are not cached at the upstream.
    prefill_tokens: int = 0
    # Tokens of prompt and expected output, in memory while the call runs.
    memory_tokens: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class RunningCall:
    """A call that was popped and has not finished."""

    caller_id: str
    # Expected service time that was added to the caller's tag; corrected at the end.
    charged_s: float
    size: CallSize
    in_prefill: bool = True


@dataclass(slots=True, kw_only=True, eq=False)
class QueueEntry(Generic[CallT]):
    """A waiting call and its rank."""

    call: CallT
    priority: Priority
    rank_s: float
    deadline_s: float | None
    size: CallSize
    waiting: bool = True


@dataclass(slots=True, kw_only=True)
class CallerQueue(Generic[CallT]):
    """Waiting calls of one caller and the service that it has received."""

    # Start tag of start-time fair queueing: the caller's service in virtual time.
    start_tag_s: float = 0.0
    heap: list[tuple[float, int, QueueEntry[CallT]]] = field(default_factory=list)
    running: int = 0
