"""Model of an engine with continuous batching and a prefix cache.

One step computes one token of every decoding sequence and, while a prompt waits,
one chunk of it. A step takes::

    STEP_BASE_S + STEP_PER_SEQUENCE_S * sequences + (PREFILL_CHUNK tokens, if any)
    * PREFILL_PER_TOKEN_S

Prompts are computed one after the other in order of admission. Memory is counted
in tokens. An admitted request holds its whole prompt and output; a finished one
becomes a cache entry that is evicted in least-recently-used order when an admission
needs the room. A request that does not fit beside the admitted ones waits, in order
of arrival. Shared prefixes stay while the engine runs: a prefix tree gives up its
leaves first, and some program always extends them. The engine has no priorities.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from lentilroad.bench.chains import Chain
from lentilroad.bench.events import EventClock

STEP_BASE_S = 0.010
STEP_PER_SEQUENCE_S = 0.0003
PREFILL_PER_TOKEN_S = 1.0 / 12_000.0
PREFILL_CHUNK = 256
SEQUENCES_MAX = 256
# Copying cache to and from host memory relative to computing it.
TRANSFER_TOKENS_PER_S = 100_000.0
_EPSILON = 1e-6


@dataclass(slots=True, kw_only=True, eq=False)
class EngineRequest:
    """One request and what the engine measured on it."""

    chain_id: str
    shared_key: str
    shared_tokens: int
    # Prompt tokens after the shared prefix.
    own_tokens: int
    output_tokens: int
    on_first: Callable[[EngineRequest], None]
    on_done: Callable[[EngineRequest], None]
    on_failed: Callable[[EngineRequest], None]
    cached_tokens: int = 0
    own_cached_tokens: int = 0
    uncached_tokens: int = 0
    submitted_s: float = 0.0
    admitted_s: float = 0.0
    first_s: float = 0.0
    produced_tokens: int = 0
    # Token count of the engine at which the output is complete.
    target: float = 0.0
    start: float = 0.0


@dataclass(slots=True, kw_only=True)
class EngineEvents:
    """What the measurement wants to know; cache events may be cut off."""

    on_admit: Callable[[str, EngineRequest], None]
    on_evict: Callable[[str, str, int], None]


class ModelEngine:
    """One engine in virtual time.

    Parameters
    ----------
    name : str
        Address of the engine.
    clock : EventClock
        Virtual time.
    capacity_tokens : int
        Memory for running sequences and cached prefixes.
    events : EngineEvents
        Callbacks for admissions and evictions.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: EventClock,
        capacity_tokens: int,
        events: EngineEvents,
    ) -> None:
        self.name = name
        self.capacity_tokens = capacity_tokens
        self.alive = True
        self.active_tokens = 0
        self.cached_tokens = 0
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.exported: dict[str, int] = {}
        self.shared: dict[str, int] = {}
        self._clock = clock
        self._events = events
        self._waiting: deque[EngineRequest] = deque()
        self._prefill: deque[EngineRequest] = deque()
        self._prefill_left = 0.0
        self._decoding: list[tuple[float, int, EngineRequest]] = []
        self._tokens = 0.0
        self._updated_s = 0.0
        self._version = 0
        self._sequence = 0

    @property
    def running(self) -> int:
        """Admitted requests."""
        return len(self._prefill) + len(self._decoding)

    @property
    def waiting(self) -> int:
        """Requests that wait for memory inside the engine."""
        return len(self._waiting)

    @property
    def step_s(self) -> float:
        """Present time between tokens."""
        step_s = STEP_BASE_S + STEP_PER_SEQUENCE_S * len(self._decoding)
        if self._prefill:
            step_s += PREFILL_CHUNK * PREFILL_PER_TOKEN_S
        return step_s

    def submit(self, request: EngineRequest) -> None:
        """Take a request; a dead engine refuses the connection."""
        request.submitted_s = self._clock.now_s
        if not self.alive:
            self._clock.after(0.0, request.on_failed, request)
            return
        self._advance()
        self._waiting.append(request)
        self._admit()
        self._schedule()

    def preload(self, chain: Chain) -> None:
        """Hold a chain's cache and its shared prefix from the start of a run."""
        self._share(chain.spec.shared_key, chain.spec.shared_tokens)
        self._store(chain.chain_id, chain.own_tokens)

    def release(self, chain_id: str) -> None:
        """Drop what the engine caches for a chain."""
        tokens = self.cache.pop(chain_id, 0)
        self.exported.pop(chain_id, None)
        if tokens:
            self.cached_tokens -= tokens
            self._events.on_evict(self.name, chain_id, tokens)

    def export(self, chain_id: str) -> None:
        """Move a chain's cache to host memory."""
        tokens = self.cache.get(chain_id, 0)
        if tokens:
            self.release(chain_id)
            self.exported[chain_id] = tokens

    def import_cache(self, chain_id: str) -> None:
        """Move a chain's cache back from host memory."""
        tokens = self.exported.pop(chain_id, 0)
        if tokens and self.alive and chain_id not in self.cache:
            self._store(chain_id, tokens)

    def die(self) -> None:
        """Lose all requests and the cache."""
        self._advance()
        self.alive = False
        self._version += 1
        lost = list(self._waiting) + list(self._prefill)
        for _, _, request in self._decoding:
            request.produced_tokens = int(self._tokens - request.start)
            lost.append(request)
        self._waiting.clear()
        self._prefill.clear()
        self._decoding.clear()
        for chain_id, tokens in self.cache.items():
            self._events.on_evict(self.name, chain_id, tokens)
        self.cache.clear()
        self.shared.clear()
        self.exported.clear()
        self.active_tokens = self.cached_tokens = 0
        for request in lost:
            request.on_failed(request)

    def restart(self) -> None:
        """Serve again, with an empty cache."""
        self.alive = True
        self._updated_s = self._clock.now_s

    def _advance(self) -> None:
        elapsed_s = self._clock.now_s - self._updated_s
        self._updated_s = self._clock.now_s
        if elapsed_s <= 0.0:
            return
        steps = elapsed_s / self.step_s
        self._tokens += steps
        if self._prefill:
            self._prefill_left -= steps * PREFILL_CHUNK

    def _schedule(self) -> None:
        self._version += 1
        step_s = self.step_s
        next_s = float("inf")
        if self._prefill:
            next_s = max(0.0, self._prefill_left) / PREFILL_CHUNK * step_s
        if self._decoding:
            left = max(0.0, self._decoding[0][0] - self._tokens)
            next_s = min(next_s, left * step_s)
        if next_s != float("inf"):
            self._clock.after(next_s, self._tick, self._version)

    def _tick(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        if self._prefill and self._prefill_left <= _EPSILON:
            self._finish_prefill()
        while self._decoding and self._decoding[0][0] <= self._tokens + _EPSILON:
            self._finish(heappop(self._decoding)[2])
        self._admit()
        self._schedule()

    def _finish_prefill(self) -> None:
        request = self._prefill.popleft()
        request.first_s = self._clock.now_s
        request.start = self._tokens
        request.target = self._tokens + request.output_tokens
        self._sequence += 1
        heappush(self._decoding, (request.target, self._sequence, request))
        if self._prefill:
            self._prefill_left = float(self._prefill[0].uncached_tokens)
        self._share(request.shared_key, request.shared_tokens)
        request.on_first(request)

    def _finish(self, request: EngineRequest) -> None:
        size = request.own_tokens + request.output_tokens
        self.active_tokens -= size
        request.produced_tokens = request.output_tokens
        self._store(request.chain_id, size)
        request.on_done(request)

    def _admit(self) -> None:
        while self._waiting and self.running < SEQUENCES_MAX:
            request = self._waiting[0]
            size = request.own_tokens + request.output_tokens
            if self.running and self.active_tokens + size > self.capacity_tokens:
                return
            self._waiting.popleft()
            self._start(request, size)

    def _start(self, request: EngineRequest, size: int) -> None:
        own_cached = self.cache.pop(request.chain_id, 0)
        self.cached_tokens -= own_cached
        own_cached = min(own_cached, request.own_tokens)
        shared_cached = self.shared.get(request.shared_key, 0)
        request.own_cached_tokens = own_cached
        request.cached_tokens = own_cached + shared_cached
        prompt = request.own_tokens + request.shared_tokens
        # The last prompt token is always computed.
        request.uncached_tokens = max(1, prompt - request.cached_tokens)
        request.admitted_s = self._clock.now_s
        self.active_tokens += size
        self._make_room(0)
        if not self._prefill:
            self._prefill_left = float(request.uncached_tokens)
        self._prefill.append(request)
        self._events.on_admit(self.name, request)

    def _share(self, key: str, tokens: int) -> None:
        if key not in self.shared:
            self.shared[key] = tokens
            self.active_tokens += tokens

    def _store(self, key: str, tokens: int) -> None:
        old = self.cache.pop(key, 0)
        self.cached_tokens += tokens - old
        self.cache[key] = tokens
        self._make_room(0)

    def _make_room(self, needed: int) -> None:
        room = self.capacity_tokens - self.active_tokens - needed
        while self.cached_tokens > max(0, room) and self.cache:
            key, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens
            self._events.on_evict(self.name, key, tokens)


def step_at_load(
    *, turns_per_s: float, output_tokens: float, new_tokens: float
) -> float:
    """Return the mean step time of one engine when all prefixes are held.

    Solves ``step = base + per_sequence * n + chunk * busy`` with
    ``n = turns_per_s * output_tokens * step`` decoding sequences and a share
    ``busy = turns_per_s * new_tokens * step / PREFILL_CHUNK`` of steps with a prompt.
    """
    slope = STEP_PER_SEQUENCE_S * output_tokens + PREFILL_PER_TOKEN_S * new_tokens
    left = 1.0 - turns_per_s * slope
    return STEP_BASE_S / left if left > 0.0 else float("inf")


def capacity_turns_per_s(
    *, output_tokens: float, new_tokens: float, step_s: float
) -> float:
    """Return the rate of turns at which the mean step takes `step_s`."""
    slope = STEP_PER_SEQUENCE_S * output_tokens + PREFILL_PER_TOKEN_S * new_tokens
    return (1.0 - STEP_BASE_S / step_s) / slope
