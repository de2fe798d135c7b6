"""Rate and program limits of callers, of which each entry enforces its share."""

from __future__ import annotations

from dataclasses import dataclass

from lentilroad.clock import Clock
from lentilroad.errors import RateLimitedError


class TokenBucket:
    """Token bucket that refills at a constant rate up to its burst size.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rate_per_s : float
        Amount added per second.
    burst : float
        Capacity of the bucket.
    """

    __slots__ = ("_amount", "_clock", "_updated_s", "burst", "rate_per_s")

    def __init__(self, *, clock: Clock, rate_per_s: float, burst: float) -> None:
        self._clock = clock
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._amount = burst
        self._updated_s = clock.monotonic_s()

    def available(self) -> float:
        """Return the current amount, which is negative while there is a debt."""
        now_s = self._clock.monotonic_s()
        refill = (now_s - self._updated_s) * self.rate_per_s
        self._updated_s = now_s
        self._amount = min(self.burst, self._amount + refill)
        return self._amount

    def wait_s(self, amount: float) -> float:
        """Return the seconds until `amount` can be consumed, 0 if it can be now.

        An amount above the burst size needs a full bucket and leaves a debt.
        """
        if self.rate_per_s <= 0.0 and amount > 0.0:
            return float("inf")
        missing = min(amount, self.burst) - self.available()
        # Floating-point rounding leaves a refilled bucket slightly below its burst.
        if missing <= 1e-9 * self.burst:
            return 0.0
        return missing / self.rate_per_s

    def consume(self, amount: float) -> None:
        """Consume `amount`; the remaining amount may become negative."""
        self.available()
        self._amount -= amount


@dataclass(slots=True, kw_only=True)
class CallerLimit:
    """Limits of a caller across all entries of the region; None means unlimited."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    programs: int | None = None


@dataclass(slots=True, kw_only=True)
class _CallerState:
    limit: CallerLimit
    requests: TokenBucket | None
    tokens: TokenBucket | None
    programs: int = 0


class CallerLimits:
    """Token buckets and counts of open programs of the callers of this entry.

    Parameters
    ----------
    clock : Clock
        Source of time.
    limits : dict of str to CallerLimit
        Limits by caller id; callers without an entry are unlimited.
    share : float
        This entry's part of the limits, usually 1 / number of live entries.
    """

    __slots__ = ("_clock", "_limits", "_share", "_states")

    def __init__(
        self, *, clock: Clock, limits: dict[str, CallerLimit], share: float = 1.0
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._share = share
        self._states: dict[str, _CallerState] = {}

    def replace(
        self,
        *,
        limits: dict[str, CallerLimit] | None = None,
        share: float | None = None,
    ) -> None:
        """Apply new limits or a new share and retain the counts of open programs."""
        self._limits = self._limits if limits is None else limits
        self._share = self._share if share is None else share
        for caller_id, old in list(self._states.items()):
            new = self._new_state(caller_id)
            new.programs = old.programs
            # A full new bucket would grant the caller a second burst.
            _transfer_fill(old.requests, new.requests)
            _transfer_fill(old.tokens, new.tokens)
            self._states[caller_id] = new

    def admit_request(self, caller_id: str, *, tokens: int = 0) -> None:
        """Count one request; raise `RateLimitedError` above a limit.

        Parameters
        ----------
        caller_id : str
            The authenticated caller.
        tokens : int
            Prompt tokens plus the tokens that the call may produce.
        """
        state = self._state(caller_id)
        wait_s = 0.0
        if state.requests is not None:
            wait_s = state.requests.wait_s(1.0)
        if state.tokens is not None:
            wait_s = max(wait_s, state.tokens.wait_s(tokens))
        if wait_s > 0.0:
            raise RateLimitedError(
                "the caller's rate limit is reached; retry after the given time or "
                "ask the operator for a higher limit",
                retry_after_ms=_retry_after_ms(wait_s),
            )
        if state.requests is not None:
            state.requests.consume(1.0)
        if state.tokens is not None:
            state.tokens.consume(tokens)

    def refund_tokens(self, caller_id: str, *, tokens: int) -> None:
        """Refund the tokens that were charged to a finished call and not used."""
        bucket = self._state(caller_id).tokens
        if bucket is not None:
            bucket.consume(-float(tokens))

    def open_program(self, caller_id: str) -> None:
        """Count an opened program; raise `RateLimitedError` above the limit."""
        state = self._state(caller_id)
        limit = state.limit.programs
        if limit is not None and state.programs >= max(1, int(limit * self._share)):
            raise RateLimitedError(
                "the caller has too many open programs; end a program or ask the "
                "operator for a higher limit",
                retry_after_ms=1000,
            )
        state.programs += 1

    def close_program(self, caller_id: str) -> None:
        """Remove an ended program from the caller's count."""
        state = self._state(caller_id)
        state.programs = max(0, state.programs - 1)

    def _state(self, caller_id: str) -> _CallerState:
        state = self._states.get(caller_id)
        if state is None:
            state = self._states[caller_id] = self._new_state(caller_id)
        return state

    def _new_state(self, caller_id: str) -> _CallerState:
        limit = self._limits.get(caller_id, CallerLimit())
        return _CallerState(
            limit=limit,
            requests=self._bucket(limit.requests_per_s),
            tokens=self._bucket(limit.tokens_per_s),
        )

    def _bucket(self, rate_per_s: float | None) -> TokenBucket | None:
        if rate_per_s is None:
            return None
        rate_per_s *= self._share
        # The burst is two seconds of the rate, and at least one request.
        return TokenBucket(
            clock=self._clock, rate_per_s=rate_per_s, burst=max(1.0, 2.0 * rate_per_s)
        )


def _transfer_fill(old: TokenBucket | None, new: TokenBucket | None) -> None:
    if old is None or new is None:
        return
    fill = old.available() / old.burst
    new.consume(new.burst * (1.0 - fill))


def _retry_after_ms(wait_s: float) -> int | None:
    if wait_s == float("inf"):
        return None
    return max(1, int(wait_s * 1000.0) + 1)
