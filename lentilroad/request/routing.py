"""Cost estimates and choice of the upstream for one call."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from lentilroad.request import const
from lentilroad.request.traffic import CrossRegionTraffic
from lentilroad.wire.messages import LoadReport, SidecarRecord


@dataclass(slots=True, kw_only=True)
class Candidate:
    """State of one upstream at the time of the choice, as the owner knows it."""

    record: SidecarRecord
    load: LoadReport
    report_age_s: float
    # Calls that this owner has in flight at the upstream.
    in_flight: int = 0
    # Calls in flight that the latest load report does not include.
    sent_since_report: int = 0
    # Tokens of the prompt that the upstream has cached, by the owner's prefix table.
    cached_tokens: int = 0
    # Prompt tokens of this owner's calls that the upstream has not prefilled yet.
    pending_prefill_tokens: int = 0
    breaker_allows: bool = True
    # The upstream has just refused this call because of its load: it is not chosen, and
    # its refusal is no reason to leave the region.
    busy: bool = False


@dataclass(slots=True, kw_only=True)
class CallShape:
    """Size and origin of a call; `region` and `availability_zone` are the owner's.

    For a call to a service, `output_tokens` is 0 and `service_s` its usual duration.
    """

    caller_id: str
    region: str
    availability_zone: str
    prompt_tokens: int = 0
    output_tokens: int = const.DEFAULT_OUTPUT_TOKENS
    service_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class Choice:
    """The chosen upstream and its expected time."""

    record: SidecarRecord
    estimate_s: float
    cached_tokens: int
    # Bytes that cross a billed link, 0 within the region.
    billed_bytes: int = 0


# Cost in seconds, expected time in seconds, and the candidate.
_CostedCandidate = tuple[float, float, Candidate]


def select_candidates(
    *,
    holders: Mapping[str, int],
    pool: Sequence[str],
    random: Random,
    draws: int = const.RANDOM_CANDIDATES,
) -> list[str]:
    """Return the holders of the prefix plus a few random upstreams.

    The work done depends on `draws` and not on the size of the pool.

    Parameters
    ----------
    holders : Mapping of str to int
        Cached tokens by address.
    pool : Sequence of str
        Addresses of all upstreams of the model in the region.
    random : Random
        Source of the draws.
    draws : int
        Number of random upstreams.

    Returns
    -------
    list of str
        Distinct addresses. Holders need not be in the pool.
    """
    addresses = dict.fromkeys(holders)
    if len(pool) <= 2 * draws:
        addresses.update(dict.fromkeys(pool))
        return list(addresses)
    for _ in range(draws):
        addresses[pool[int(random.random() * len(pool))]] = None
    return list(addresses)


def estimate_s(candidate: Candidate, call: CallShape) -> float:
    """Return the expected time until the call has finished at the candidate.

    Parameters
    ----------
    candidate : Candidate
        The upstream.
    call : CallShape
        The call.

    Returns
    -------
    float
        Queue wait, prefill, decoding and distance, in seconds.
    """
    load = candidate.load
    report_weight = 0.5 ** (candidate.report_age_s / const.REPORT_HALF_LIFE_S)
    own_calls = candidate.in_flight
    reported = load.running + load.queued + candidate.sent_since_report
    # The older the report, the more the owner's own count of calls decides.
    outstanding = max(
        own_calls, report_weight * reported + (1.0 - report_weight) * own_calls
    )
    limit = max(1, load.limit)
    fill = min(1.0, outstanding / limit)
    # At its concurrency limit, the upstream's time between tokens meets the target.
    slowness = (
        const.EMPTY_BATCH_TIME_SHARE + (1.0 - const.EMPTY_BATCH_TIME_SHARE) * fill
    )
    time_per_token_s = const.TIME_PER_TOKEN_TARGET_S * slowness
    rate = load.prefill_tokens_per_s or const.DEFAULT_PREFILL_TOKENS_PER_S
    uncached = max(0, call.prompt_tokens - candidate.cached_tokens)
    prefill_s = (uncached + candidate.pending_prefill_tokens) / rate
    decode_s = call.output_tokens * time_per_token_s + call.service_s * slowness
    waiting = max(0.0, outstanding + 1.0 - limit)
    wait_s = waiting * (decode_s + prefill_s) / limit
    return wait_s + prefill_s + decode_s + _distance_s(candidate, call)


def choose_upstream(
    *,
    candidates: Iterable[Candidate],
    call: CallShape,
    traffic: CrossRegionTraffic | None = None,
) -> Choice | None:
    """Return the candidate with the lowest expected time plus recomputation cost.

    A candidate of another region is chosen only if the call's region has no healthy
    candidate, or if the gain is worth more than the billed traffic and the volume
    limit allows the traffic.

    Parameters
    ----------
    candidates : Iterable of Candidate
        The upstreams to choose from.
    call : CallShape
        The call.
    traffic : CrossRegionTraffic, optional
        Price and volume limit; None forbids other regions unless the call's region
        has no healthy candidate.

    Returns
    -------
    Choice or None
        None when no candidate is healthy.
    """
    local: _CostedCandidate | None = None
    remote: _CostedCandidate | None = None
    busy_time_s: float | None = None
    for candidate in candidates:
        if candidate.record.state != "serving" or not candidate.breaker_allows:
            continue
        time_s = estimate_s(candidate, call)
        cost_s = time_s + _recomputation_cost_s(candidate, call)
        is_local = candidate.record.region == call.region
        if candidate.busy:
            if is_local:
                busy_time_s = (
                    time_s if busy_time_s is None else min(busy_time_s, time_s)
                )
        elif is_local:
            if local is None or cost_s < local[0]:
                local = (cost_s, time_s, candidate)
        elif remote is None or cost_s < remote[0]:
            remote = (cost_s, time_s, candidate)
    if remote is None:
        return None if local is None else _choice(local, 0)
    size_bytes = traffic_bytes(call)
    local_time_s = busy_time_s if local is None else local[1]
    if local_time_s is None:
        if traffic is not None:
            traffic.spend(call.caller_id, size_bytes=size_bytes)
        return _choice(remote, size_bytes)
    # The gain is the call's own time; the cost for other calls does not justify billed
    # traffic.
    if traffic is None or not traffic.try_spend(
        call.caller_id, size_bytes=size_bytes, gain_s=local_time_s - remote[1]
    ):
        return None if local is None else _choice(local, 0)
    return _choice(remote, size_bytes)


def traffic_bytes(call: CallShape) -> int:
    """Return the bytes of a call that leaves its region."""
    return const.BYTES_PER_TOKEN * (call.prompt_tokens + call.output_tokens)


def _choice(costed: _CostedCandidate, billed_bytes: int) -> Choice:
    _, time_s, candidate = costed
    return Choice(
        record=candidate.record,
        estimate_s=time_s,
        cached_tokens=candidate.cached_tokens,
        billed_bytes=billed_bytes,
    )


def _recomputation_cost_s(candidate: Candidate, call: CallShape) -> float:
    """Return the delay that an uncached prefill causes to the batch's other calls."""
    rate = candidate.load.prefill_tokens_per_s or const.DEFAULT_PREFILL_TOKENS_PER_S
    uncached = max(0, call.prompt_tokens - candidate.cached_tokens)
    return const.RECOMPUTATION_WEIGHT * uncached / rate


def _distance_s(candidate: Candidate, call: CallShape) -> float:
    record = candidate.record
    if record.region != call.region:
        return 2.0 * const.REGION_LATENCY_S
    if record.availability_zone != call.availability_zone:
        return 2.0 * const.ZONE_LATENCY_S
    return 0.0
