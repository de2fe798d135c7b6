"""Upstreams as the owner knows them, and the choice among them."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from lentilroad.clock import Clock
from lentilroad.request import const
from lentilroad.request.breaker import CircuitBreaker
from lentilroad.request.prefixes import PrefixTable
from lentilroad.request.routing import (
    CallShape,
    Candidate,
    Choice,
    choose_upstream,
    estimate_s,
    select_candidates,
    traffic_bytes,
)
from lentilroad.request.traffic import CrossRegionTraffic
from lentilroad.wire.messages import LoadReport, SidecarRecord


@dataclass(slots=True, kw_only=True)
class _Upstream:
    record: SidecarRecord
    load: LoadReport
    reported_s: float
    breaker: CircuitBreaker
    in_flight: int = 0
    sent_since_report: int = 0
    # Prompt tokens by id of the calls in flight; 0 after a call's first token.
    pending_prefill: dict[str, int] = field(default_factory=dict)
    pending_prefill_tokens: int = 0


class Router:
    """Upstreams with their load, breaker, calls of this owner and cached prefixes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of randomness for the choice of candidates.
    region, availability_zone : str
        Location of this entry.
    prefixes : PrefixTable, optional
        Cached prefixes by upstream.
    traffic : CrossRegionTraffic, optional
        Price and volume limit of traffic to other regions.
    draws : int
        Number of random candidates.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        region: str,
        availability_zone: str,
        prefixes: PrefixTable | None = None,
        traffic: CrossRegionTraffic | None = None,
        draws: int = const.RANDOM_CANDIDATES,
    ) -> None:
        self.prefixes = prefixes or PrefixTable()
        self._clock = clock
        self._random = random
        self._region = region
        self._availability_zone = availability_zone
        self._traffic = traffic
        self._draws = draws
        self._upstreams: dict[str, _Upstream] = {}
        # Addresses by (model or service name, region).
        self._pools: dict[tuple[str, str], list[str]] = {}
        # Regions by model or service name.
        self._regions: dict[str, list[str]] = {}

    def update(
        self,
        record: SidecarRecord,
        load: LoadReport | None = None,
        *,
        age_s: float = 0.0,
    ) -> None:
        """Add or update an upstream from its directory record and load report.

        A dead upstream is removed. A new incarnation replaces the upstream, whose
        cached prefixes and counts are lost.

        Parameters
        ----------
        record : SidecarRecord
            Record of the sidecar directory.
        load : LoadReport, optional
            Load report; None retains the previous report.
        age_s : float
            Age of the load report.
        """
        upstream = self._upstreams.get(record.address)
        if record.state == "dead":
            self.remove(record.address)
            return
        if upstream is None or upstream.record.incarnation != record.incarnation:
            self.remove(record.address)
            upstream = self._add(record)
        elif _pools_differ(upstream.record, record):
            self._remove_from_pools(upstream.record)
            self._add_to_pools(record)
        upstream.record = record
        if load is None:
            return
        upstream.load = load
        upstream.reported_s = self._clock.monotonic_s() - age_s
        upstream.sent_since_report = 0

    def remove(self, address: str) -> None:
        """Remove an upstream and the records of its cached prefixes."""
        upstream = self._upstreams.pop(address, None)
        if upstream is None:
            return
        self._remove_from_pools(upstream.record)
        self.prefixes.remove_upstream(address)

    def choose(
        self,
        *,
        name: str,
        call: CallShape,
        prefix_keys: Iterable[str] = (),
        excluded: frozenset[str] = frozenset(),
        busy: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the best upstream for a call, None if no upstream can be chosen.

        Parameters
        ----------
        name : str
            Model or service.
        call : CallShape
            Size and origin of the call.
        prefix_keys : iterable of str
            The program's id and the names of shared prefixes of its prompt.
        excluded : frozenset of str
            Addresses that failed this call or are unreachable.
        busy : frozenset of str
            Addresses that have just refused this call because of their load. They
            are not chosen, but count as healthy upstreams of their region, so that
            their refusal alone causes no billed traffic.
        """
        holders = self._holders(prefix_keys)
        pool = self._pools.get((name, call.region), [])
        addresses = select_candidates(
            holders=holders, pool=pool, random=self._random, draws=self._draws
        )
        local = self._candidates(addresses, holders, name, excluded, busy)
        if not _any_healthy(local, call.region):
            # No drawn candidate is healthy: consider the whole pool before the
            # upstreams of other regions.
            local = self._candidates(
                dict.fromkeys([*addresses, *pool]), holders, name, excluded, busy
            )
        if _any_healthy(local, call.region) and not self._may_leave_region(local, call):
            return choose_upstream(candidates=local, call=call)
        remote = self._candidates(
            self._remote_addresses(name, call.region), holders, name, excluded, busy
        )
        return choose_upstream(
            candidates=local + remote, call=call, traffic=self._traffic
        )

    def _may_leave_region(self, candidates: list[Candidate], call: CallShape) -> bool:
        # Leaving the region saves at most the lowest local estimate. Checking that
        # bound first avoids the estimates for other regions.
        if self._traffic is None:
            return False
        lowest_estimate_s = min(
            estimate_s(candidate, call)
            for candidate in candidates
            if _is_healthy(candidate, call.region)
        )
        return self._traffic.is_worth(
            size_bytes=traffic_bytes(call), gain_s=lowest_estimate_s
        )

    def started(self, address: str, *, call_id: str, prefill_tokens: int = 0) -> None:
        """Record a call that was sent to an upstream."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        upstream.in_flight += 1
        upstream.sent_since_report += 1
        upstream.pending_prefill[call_id] = prefill_tokens
        upstream.pending_prefill_tokens += prefill_tokens
        upstream.breaker.record_sent()

    def progressed(self, address: str, *, call_id: str) -> None:
        """Record the first or any later output of a call."""
        upstream = self._upstreams.get(address)
        if upstream is None:
            return
        tokens = upstream.pending_prefill.get(call_id, 0)
        if tokens:
            upstream.pending_prefill[call_id] = 0
            upstream.pending_prefill_tokens -= tokens
        upstream.breaker.record_progress()

    def finished(self, address: str, *, call_id: str, succeeded: bool | None) -> None:
        """Record the end of a call.

        Parameters
        ----------
        address : str
            Address of the upstream.
        call_id : str
            Id of the call.
        succeeded : bool, optional
            None if the outcome does not indicate the upstream's health: the call was
            cancelled, or refused because of its content or of overload.
        """
        upstream = self._upstreams.get(address)
        tokens = (
            None if upstream is None else upstream.pending_prefill.pop(call_id, None)
        )
        if upstream is None or tokens is None:
            return
        upstream.pending_prefill_tokens -= tokens
        upstream.in_flight -= 1
        upstream.sent_since_report = max(0, upstream.sent_since_report - 1)
        if succeeded is None:
            upstream.breaker.record_abandoned()
        elif succeeded:
            upstream.breaker.record_success()
        else:
            upstream.breaker.record_failure()

    def _candidates(
        self,
        addresses: Iterable[str],
        holders: Mapping[str, int],
        name: str,
        excluded: frozenset[str],
        busy: frozenset[str],
    ) -> list[Candidate]:
        now_s = self._clock.monotonic_s()
        candidates = []
        for address in addresses:
            upstream = self._upstreams.get(address)
            if (
                upstream is None
                or address in excluded
                or name not in upstream.record.names
            ):
                continue
            candidates.append(
                Candidate(
                    record=upstream.record,
                    load=upstream.load,
                    report_age_s=now_s - upstream.reported_s,
                    in_flight=upstream.in_flight,
                    sent_since_report=upstream.sent_since_report,
                    cached_tokens=holders.get(address, 0),
                    pending_prefill_tokens=upstream.pending_prefill_tokens,
                    breaker_allows=upstream.breaker.allows()
                    and upstream.load.silent_s < const.BREAKER_HANG_S,
                    busy=address in busy,
                )
            )
        return candidates

    def _holders(self, prefix_keys: Iterable[str]) -> dict[str, int]:
        holders: dict[str, int] = {}
        for key in prefix_keys:
            for address, tokens in self.prefixes.holders(key).items():
                holders[address] = max(tokens, holders.get(address, 0))
        return holders

    def _remote_addresses(self, name: str, region: str) -> list[str]:
        addresses: list[str] = []
        for other_region in self._regions.get(name, []):
            if other_region == region:
                continue
            pool = self._pools[(name, other_region)]
            addresses += select_candidates(
                holders={}, pool=pool, random=self._random, draws=2
            )
        return addresses

    def _add(self, record: SidecarRecord) -> _Upstream:
        upstream = self._upstreams[record.address] = _Upstream(
            record=record,
            load=LoadReport(),
            reported_s=self._clock.monotonic_s(),
            # The owner does not receive the tokens, so it cannot detect a hang; the
            # sidecar reports an unresponsive engine by `LoadReport.silent_s`.
            breaker=CircuitBreaker(clock=self._clock, hang_s=None),
        )
        self._add_to_pools(record)
        return upstream

    def _add_to_pools(self, record: SidecarRecord) -> None:
        for name in record.names:
            self._pools.setdefault((name, record.region), []).append(record.address)
            regions = self._regions.setdefault(name, [])
            if record.region not in regions:
                regions.append(record.region)

    def _remove_from_pools(self, record: SidecarRecord) -> None:
        for name in record.names:
            self._pools[(name, record.region)].remove(record.address)


def _pools_differ(old: SidecarRecord, new: SidecarRecord) -> bool:
    return old.names != new.names or old.region != new.region


def _is_healthy(candidate: Candidate, region: str) -> bool:
    return (
        candidate.record.region == region
        and candidate.record.state == "serving"
        and candidate.breaker_allows
    )


def _any_healthy(candidates: Iterable[Candidate], region: str) -> bool:
    return any(_is_healthy(candidate, region) for candidate in candidates)
