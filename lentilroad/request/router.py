"""The owner's view of the upstreams and its choice among them."""

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
    candidate_set,
    choose_upstream,
    estimate_s,
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
    # Prompt tokens of each call until its first token, by call id.
    pending: dict[str, int] = field(default_factory=dict)
    pending_tokens: int = 0


class Router:
    """Known upstreams with load, breaker, own calls and cached prefixes.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of the random candidates.
    region, availability_zone : str
        Place of this entry.
    prefixes : PrefixTable, optional
        Record of the cached prefixes.
    traffic : CrossRegionTraffic, optional
        Price and volume bound of other regions.
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
        self._regions: dict[str, list[str]] = {}

    def observe(
        self,
        record: SidecarRecord,
        load: LoadReport | None = None,
        *,
        age_s: float = 0.0,
    ) -> None:
        """Take over a directory entry and, if there is one, its load report."""
        known = self._upstreams.get(record.address)
        if record.state == "dead":
            self.remove(record.address)
            return
        if known is None or known.record.incarnation != record.incarnation:
            self.remove(record.address)
            known = self._add(record)
        elif _is_elsewhere(known.record, record):
            self._unlink(known.record)
            self._link(record)
        known.record = record
        if load is None:
            return
        known.load = load
        known.reported_s = self._clock.monotonic_s() - age_s
        known.sent_since_report = 0

    def remove(self, address: str) -> None:
        """Forget an upstream and the prefixes that it held."""
        known = self._upstreams.pop(address, None)
        if known is None:
            return
        self._unlink(known.record)
        self.prefixes.drop_upstream(address)

    def choose(
        self,
        *,
        name: str,
        call: CallShape,
        prefix_keys: Iterable[str] = (),
        excluded: frozenset[str] = frozenset(),
        busy: frozenset[str] = frozenset(),
    ) -> Choice | None:
        """Return the best upstream for a call, None when none is healthy.

        Parameters
        ----------
        name : str
            Model or service.
        call : CallShape
            Size and origin of the call.
        prefix_keys : iterable of str
            The program's id and the names of shared prefixes of its prompt.
        excluded : frozenset of str
            Addresses that failed this call or cannot be reached.
        busy : frozenset of str
            Addresses that have just refused this call because of their load. They
            are not chosen, and are no reason to leave the region.
        """
        holders = self._holders(prefix_keys)
        pool = self._pools.get((name, call.region), [])
        addresses = candidate_set(
            holders=holders, pool=pool, random=self._random, draws=self._draws
        )
        local = self._candidates(addresses, holders, name, excluded, busy)
        if not _any_healthy(local, call.region):
            # All that were drawn are down; look at the others before leaving.
            local = self._candidates(
                dict.fromkeys([*addresses, *pool]), holders, name, excluded, busy
            )
        if _any_healthy(local, call.region) and not self._may_leave(local, call):
            return choose_upstream(candidates=local, call=call)
        remote = self._candidates(
            self._remote_addresses(name, call.region), holders, name, excluded, busy
        )
        return choose_upstream(
            candidates=local + remote, call=call, traffic=self._traffic
        )

    def _may_leave(self, candidates: list[Candidate], call: CallShape) -> bool:
        # The gain is at most the whole estimate, which is cheaper to check than the
        # estimates of other regions.
        if self._traffic is None:
            return False
        least_s = min(
            estimate_s(candidate, call)
            for candidate in candidates
            if _is_healthy(candidate, call.region)
        )
        return self._traffic.is_worth(size_bytes=traffic_bytes(call), gain_s=least_s)

    def started(self, address: str, *, call_id: str, prefill_tokens: int = 0) -> None:
        """Record a call that was sent."""
        known = self._upstreams.get(address)
        if known is None:
            return
        known.in_flight += 1
        known.sent_since_report += 1
        known.pending[call_id] = prefill_tokens
        known.pending_tokens += prefill_tokens
        known.breaker.record_sent()

    def progressed(self, address: str, *, call_id: str) -> None:
        """Record the first output of a call or any later sign of life."""
        known = self._upstreams.get(address)
        if known is None:
            return
        tokens = known.pending.get(call_id, 0)
        if tokens:
            known.pending[call_id] = 0
            known.pending_tokens -= tokens
        known.breaker.record_progress()

    def finished(self, address: str, *, call_id: str, succeeded: bool | None) -> None:
        """Record the end of a call.

        Parameters
        ----------
        address : str
            Where the call ran.
        call_id : str
            The call.
        succeeded : bool, optional
            None when the end tells nothing about the upstream: the call was
            cancelled, or refused because of its own content or of overload.
        """
        known = self._upstreams.get(address)
        tokens = None if known is None else known.pending.pop(call_id, None)
        if known is None or tokens is None:
            return
        known.pending_tokens -= tokens
        known.in_flight -= 1
        known.sent_since_report = max(0, known.sent_since_report - 1)
        if succeeded is None:
            known.breaker.record_abandoned()
        elif succeeded:
            known.breaker.record_success()
        else:
            known.breaker.record_failure()

    def _candidates(
        self,
        addresses: Iterable[str],
        holders: Mapping[str, int],
        name: str,
        excluded: frozenset[str],
        busy: frozenset[str],
    ) -> list[Candidate]:
        now_s = self._clock.monotonic_s()
        found = []
        for address in addresses:
            known = self._upstreams.get(address)
            if known is None or address in excluded or name not in known.record.names:
                continue
            found.append(
                Candidate(
                    record=known.record,
                    load=known.load,
                    report_age_s=now_s - known.reported_s,
                    in_flight=known.in_flight,
                    sent_since_report=known.sent_since_report,
                    cached_tokens=holders.get(address, 0),
                    pending_prefill_tokens=known.pending_tokens,
                    breaker_allows=known.breaker.allows()
                    and known.load.silent_s < const.BREAKER_HANG_S,
                    busy=address in busy,
                )
            )
        return found

    def _holders(self, prefix_keys: Iterable[str]) -> dict[str, int]:
        holders: dict[str, int] = {}
        for key in prefix_keys:
            for address, tokens in self.prefixes.holders(key).items():
                holders[address] = max(tokens, holders.get(address, 0))
        return holders

    def _remote_addresses(self, name: str, region: str) -> list[str]:
        addresses: list[str] = []
        for other in self._regions.get(name, []):
            if other == region:
                continue
            pool = self._pools[(name, other)]
            addresses += candidate_set(
                holders={}, pool=pool, random=self._random, draws=2
            )
        return addresses

    def _add(self, record: SidecarRecord) -> _Upstream:
        known = self._upstreams[record.address] = _Upstream(
            record=record,
            load=LoadReport(),
            reported_s=self._clock.monotonic_s(),
            # The owner does not see tokens; the sidecar reports a silent engine.
            breaker=CircuitBreaker(clock=self._clock, hang_s=None),
        )
        self._link(record)
        return known

    def _link(self, record: SidecarRecord) -> None:
        for name in record.names:
            self._pools.setdefault((name, record.region), []).append(record.address)
            regions = self._regions.setdefault(name, [])
            if record.region not in regions:
                regions.append(record.region)

    def _unlink(self, record: SidecarRecord) -> None:
        for name in record.names:
            self._pools[(name, record.region)].remove(record.address)


def _is_elsewhere(old: SidecarRecord, new: SidecarRecord) -> bool:
    return old.names != new.names or old.region != new.region


def _is_healthy(candidate: Candidate, region: str) -> bool:
    return (
        candidate.record.region == region
        and candidate.record.state == "serving"
        and candidate.breaker_allows
    )


def _any_healthy(candidates: Iterable[Candidate], region: str) -> bool:
    return any(_is_healthy(candidate, region) for candidate in candidates)
