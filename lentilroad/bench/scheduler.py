"""lentilroad's policy in a simulated run; every decision is the product's code."""

from __future__ import annotations

from random import Random

from lentilroad.bench.chains import Chain, Turn
from lentilroad.bench.engine import EngineRequest
from lentilroad.bench.sidecar_model import Attempt, Mechanisms, SidecarModel
from lentilroad.bench.simulation import RETRY_AFTER_FAILURE_S, Simulation
from lentilroad.errors import OverloadedError
from lentilroad.request.retry import next_delay_s
from lentilroad.request.router import Router
from lentilroad.request.routing import CallShape
from lentilroad.request.traffic import CrossRegionTraffic
from lentilroad.wire.messages import LoadReport

REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.25
NETWORK_S = 0.001
DETECTION_S = 1.0


class OwnerModel:
    """One entry as the owner of programs."""

    def __init__(
        self,
        *,
        simulation: Simulation,
        region: str,
        sidecars: dict[str, SidecarModel],
        mechanisms: Mechanisms,
    ) -> None:
        clock = simulation.clock
        self.simulation = simulation
        self.sidecars = sidecars
        self.mechanisms = mechanisms
        self.region = region
        self.random = Random(simulation.random.random())
        traffic = CrossRegionTraffic(clock=clock) if mechanisms.cross_region else None
        self.router = Router(
            clock=clock,
            random=self.random,
            region=region,
            availability_zone=f"{region}-a",
            traffic=traffic,
        )

    def send(self, turn: Turn) -> None:
        """Choose an engine and dispatch."""
        simulation = self.simulation
        chain = turn.chain
        keys = (chain.chain_id,) if self.mechanisms.prefix_routing else ()
        unreachable = {
            address
            for address in self.sidecars
            if not simulation.reaches(self.region, address)
        }
        shape = CallShape(
            caller_id=chain.program.spec.caller_id,
            region=self.region,
            availability_zone=f"{self.region}-a",
            prompt_tokens=turn.prompt_tokens,
        )
        choice = self.router.choose(
            name="model",
            call=shape,
            prefix_keys=keys,
            excluded=frozenset(turn.excluded | unreachable),
            busy=frozenset(turn.busy),
        )
        if choice is None:
            self._none_left(turn)
            return
        address = choice.record.address
        turn.attempts += 1
        turn.chain.used.add(address)
        uncached = turn.prompt_tokens - choice.cached_tokens
        self.router.started(
            address, call_id=turn.call_id, prefill_tokens=max(0, uncached)
        )
        simulation.count_traffic(turn, address)
        attempt = Attempt(owner=self, turn=turn, address=address)
        simulation.clock.after(NETWORK_S, self.sidecars[address].push, attempt)

    def attempt_first(self, attempt: Attempt) -> None:
        """Record the first token."""
        turn = attempt.turn
        if turn.first_s is None:
            turn.first_s = self.simulation.clock.now_s
        self.router.progressed(attempt.address, call_id=turn.call_id)

    def attempt_done(self, attempt: Attempt, request: EngineRequest) -> None:
        """Record where the prefix is and commit the turn."""
        turn = attempt.turn
        chain = turn.chain
        now_s = self.simulation.clock.now_s
        self.router.finished(attempt.address, call_id=turn.call_id, succeeded=True)
        tokens = request.own_tokens + request.output_tokens + request.shared_tokens
        self.router.prefixes.record(
            chain.chain_id, address=attempt.address, tokens=tokens
        )
        chain.program.attained_s += now_s - attempt.popped_s
        turn.done(turn)

    def attempt_failed(self, attempt: Attempt) -> None:
        """Try another engine after a short time."""
        turn = attempt.turn
        self.router.finished(attempt.address, call_id=turn.call_id, succeeded=False)
        turn.excluded.add(attempt.address)
        self.simulation.clock.after(RETRY_AFTER_FAILURE_S, self.send, turn)

    def attempt_refused(self, attempt: Attempt, error: OverloadedError) -> None:
        """Try another engine once; refuse new programs, let others wait."""
        turn = attempt.turn
        self.router.finished(attempt.address, call_id=turn.call_id, succeeded=None)
        turn.busy.add(attempt.address)
        turn.retry_after_s = (error.retry_after_ms or 0) / 1000.0
        self.send(turn)

    def _none_left(self, turn: Turn) -> None:
        """Refuse a new program that all engines refused; let others wait."""
        if turn.busy and not turn.under_way:
            turn.refused(turn, turn.retry_after_s)
            return
        turn.excluded.clear()
        turn.busy.clear()
        delay_s = next_delay_s(
            attempt=turn.attempts,
            now_s=self.simulation.clock.now_s,
            deadline_s=None,
            random=self.random,
            retry_after_ms=int(1000.0 * max(0.2, turn.retry_after_s)),
        )
        self.simulation.clock.after(delay_s or 0.0, self.send, turn)


class SchedulerPolicy:
    """Owners and sidecars of all regions."""

    def __init__(
        self, *, simulation: Simulation, mechanisms: Mechanisms | None = None
    ) -> None:
        self.simulation = simulation
        self.mechanisms = mechanisms or Mechanisms()
        self.sidecars = {
            name: SidecarModel(
                simulation=simulation, engine=engine, mechanisms=self.mechanisms
            )
            for name, engine in simulation.engines.items()
        }
        self.owners = {
            region: [self._owner(region) for _ in range(self._entries)]
            for region, _ in simulation.deployment.engines
        }
        self._dead: set[str] = set()
        simulation.on_evicted = self._evicted
        self._report()

    def send(self, turn: Turn) -> None:
        """Hand a turn to its program's owner."""
        self._owner_of(turn.chain).send(turn)

    def chain_ended(self, chain: Chain) -> None:
        """Release the chain's cache on every engine that may hold it."""
        owner = self._owner_of(chain)
        owner.router.prefixes.remove_key(chain.chain_id)
        for address in chain.used:
            self.sidecars[address].forget(chain.chain_id)

    def preloaded(self, chain: Chain, address: str) -> None:
        """Take note of an engine that holds a chain's history at its start."""
        tokens = chain.own_tokens + chain.spec.shared_tokens
        prefixes = self._owner_of(chain).router.prefixes
        prefixes.record(chain.chain_id, address=address, tokens=tokens)
        chain.used.add(address)

    @property
    def _entries(self) -> int:
        return self.simulation.deployment.entries_per_region

    def _owner(self, region: str) -> OwnerModel:
        return OwnerModel(
            simulation=self.simulation,
            region=region,
            sidecars=self.sidecars,
            mechanisms=self.mechanisms,
        )

    def _owner_of(self, chain: Chain) -> OwnerModel:
        spec = chain.program.spec
        return self.owners[spec.region][int(spec.program_id[1:]) % self._entries]

    def _evicted(self, address: str, key: str, tokens: int) -> None:
        self.sidecars[address].retention.evicted(key)
        if key in self.simulation.engines[address].exported:
            return
        for owners in self.owners.values():
            for owner in owners:
                if address in owner.router.prefixes.holders(key):
                    owner.router.prefixes.record(key, address=address, tokens=0)

    def _report(self) -> None:
        simulation = self.simulation
        for address, sidecar in self.sidecars.items():
            self._watch(address, sidecar)
            if not sidecar.engine.alive:
                continue
            sidecar.observe()
            sidecar.relieve()
            sidecar.pump()
            if not simulation.reports_frozen or simulation.clock.now_s == 0.0:
                load = sidecar.report()
                simulation.clock.after(REPORT_LAG_S, self._deliver, address, load)
        simulation.clock.after(REPORT_INTERVAL_S, self._report)

    def _watch(self, address: str, sidecar: SidecarModel) -> None:
        if sidecar.engine.alive and address in self._dead:
            self._dead.discard(address)
            self.simulation.records[address].incarnation += 1
        elif not sidecar.engine.alive and address not in self._dead:
            self._dead.add(address)
            sidecar.engine_died()
            self.simulation.clock.after(DETECTION_S, self._remove, address)

    def _remove(self, address: str) -> None:
        if address in self._dead:
            for owner in self._all_owners():
                owner.router.remove(address)

    def _deliver(self, address: str, load: LoadReport) -> None:
        if address in self._dead:
            return
        record = self.simulation.records[address]
        if not self.mechanisms.load_routing:
            load = LoadReport()
        for owner in self._all_owners():
            if self.simulation.reaches(owner.region, address):
                owner.router.update(record, load, age_s=REPORT_LAG_S)

    def _all_owners(self) -> list[OwnerModel]:
        return [owner for owners in self.owners.values() for owner in owners]
