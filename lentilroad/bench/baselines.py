"""Baseline policies: a choice of engine without queue, refusal or release.

They prefer engines of the program's own region, know of dead engines within
`DETECTION_S`, and see the same load reports as lentilroad.
"""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.bench.chains import Chain, Turn
from lentilroad.bench.engine import EngineRequest
from lentilroad.bench.simulation import RETRY_AFTER_FAILURE_S, Simulation

DETECTION_S = 1.0
REPORT_INTERVAL_S = 0.5
NETWORK_S = 0.001

Pick = Callable[[Turn, list[str], "BaselinePolicy"], str]


class BaselinePolicy:
    """Send every turn at once to the engine that `pick` returns.

    Parameters
    ----------
    simulation : Simulation
        The run.
    pick : callable
        Chooses among the addresses of the healthy engines of the region, or of all
        regions if the own one has none.
    """

    def __init__(self, *, simulation: Simulation, pick: Pick) -> None:
        self.simulation = simulation
        self.sticky: dict[str, str] = {}
        self.holders: dict[str, dict[str, int]] = {}
        self.turn_number = 0
        self._pick = pick
        self._reported: dict[str, int] = dict.fromkeys(simulation.engines, 0)
        self._sent: dict[str, int] = dict.fromkeys(simulation.engines, 0)
        self._down: set[str] = set()
        simulation.on_evicted = self._evicted
        simulation.clock.after(REPORT_INTERVAL_S, self._report)

    def load(self, address: str) -> int:
        """Return the reported requests plus those sent since the report."""
        return self._reported[address] + self._sent[address]

    def send(self, turn: Turn) -> None:
        """Send a turn to the chosen engine."""
        simulation = self.simulation
        region = turn.chain.program.spec.region
        healthy = [
            address
            for address in simulation.engines
            if address not in self._down
            and address not in turn.excluded
            and simulation.reaches(region, address)
        ]
        own = [a for a in healthy if simulation.records[a].region == region]
        if not healthy:
            turn.excluded.clear()
            simulation.clock.after(1.0, self.send, turn)
            return
        self.turn_number += 1
        address = self._pick(turn, own or healthy, self)
        self.sticky[turn.chain.chain_id] = address
        self._sent[address] += 1
        simulation.count_traffic(turn, address)
        chain = turn.chain
        request = EngineRequest(
            chain_id=chain.chain_id,
            shared_key=chain.spec.shared_key,
            shared_tokens=chain.spec.shared_tokens,
            own_tokens=chain.own_tokens + turn.spec.new_tokens,
            output_tokens=turn.spec.output_tokens,
            on_first=lambda _: _set_first(turn, simulation.clock.now_s),
            on_done=lambda request: self._done(turn, address, request),
            on_failed=lambda _: self._failed(turn, address),
        )
        simulation.clock.after(NETWORK_S, simulation.engines[address].submit, request)

    def chain_ended(self, chain: Chain) -> None:
        """Forget the chain; the engine is not told."""
        self.sticky.pop(chain.chain_id, None)
        self.holders.pop(chain.chain_id, None)

    def preloaded(self, chain: Chain, address: str) -> None:
        """Take note of an engine that holds a chain's history at its start."""
        self.sticky[chain.chain_id] = address
        self.holders[chain.chain_id] = {address: chain.own_tokens}

    def _done(self, turn: Turn, address: str, request: EngineRequest) -> None:
        tokens = request.own_tokens + request.output_tokens
        self.holders.setdefault(turn.chain.chain_id, {})[address] = tokens
        turn.done(turn)

    def _failed(self, turn: Turn, address: str) -> None:
        turn.first_s = None
        turn.excluded.add(address)
        self.simulation.clock.after(RETRY_AFTER_FAILURE_S, self.send, turn)

    def _evicted(self, address: str, key: str, tokens: int) -> None:
        holders = self.holders.get(key)
        if holders is not None:
            holders.pop(address, None)

    def _report(self) -> None:
        simulation = self.simulation
        if not simulation.reports_frozen:
            for address, engine in simulation.engines.items():
                self._reported[address] = engine.running + engine.waiting
                self._sent[address] = 0
        for address, engine in simulation.engines.items():
            if engine.alive:
                self._down.discard(address)
            elif address not in self._down:
                simulation.clock.after(DETECTION_S, self._set_down, address)
        simulation.clock.after(REPORT_INTERVAL_S, self._report)

    def _set_down(self, address: str) -> None:
        if not self.simulation.engines[address].alive:
            self._down.add(address)


def _set_first(turn: Turn, now_s: float) -> None:
    if turn.first_s is None:
        turn.first_s = now_s


def pick_random(turn: Turn, addresses: list[str], policy: BaselinePolicy) -> str:
    """Choose at random."""
    return policy.simulation.random.choice(addresses)


def pick_round_robin(turn: Turn, addresses: list[str], policy: BaselinePolicy) -> str:
    """Choose in turn."""
    return addresses[policy.turn_number % len(addresses)]


def pick_least_outstanding(
    turn: Turn, addresses: list[str], policy: BaselinePolicy
) -> str:
    """Choose the engine with the fewest requests."""
    return min(addresses, key=policy.load)


def pick_sticky(turn: Turn, addresses: list[str], policy: BaselinePolicy) -> str:
    """Stay with a chain's engine; choose the least loaded one at its start."""
    address = policy.sticky.get(turn.chain.chain_id)
    if address in addresses:
        return address
    return pick_least_outstanding(turn, addresses, policy)


def pick_longest_prefix(
    turn: Turn, addresses: list[str], policy: BaselinePolicy
) -> str:
    """Choose the engine with the longest cached prefix, then the least loaded."""
    holders = policy.holders.get(turn.chain.chain_id, {})
    return min(addresses, key=lambda a: (-holders.get(a, 0), policy.load(a)))


BASELINES: dict[str, Pick] = {
    "random": pick_random,
    "round-robin": pick_round_robin,
    "least-outstanding": pick_least_outstanding,
    "session-sticky": pick_sticky,
    "longest-prefix": pick_longest_prefix,
}
