"""Agent programs that share the slots of a service, in virtual time.

The slots are pooled over the entries; what is compared is the order of the waiting
requests and the admission of new programs. The entries decide from a view of the load
that is 50 to 150 ms old.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from lentilroad.bench.events import EventClock
from lentilroad.process.telemetry import Telemetry
from lentilroad.request.inbound import InboundRequest
from lentilroad.request.program_policy import ProgramPolicy
from lentilroad.request.service_load import ServiceLoad
from lentilroad.version.customers import Customer
from lentilroad.version.routes import Route, RouteKind

ENTRIES = 22
SLOTS = 23 * 6
TURN_S = 0.3
PAUSE_S = 0.12
WAY_S = 0.072
# Run time of a turn in a full batch, relative to the time on an idle engine.
FULL_BATCH_FACTOR = 1.1
DEADLINE_S = 3.0
VIEW_INTERVAL_S = 0.1
VIEW_DELAY_S = 0.05
# Share of the usual load that the hot customer has.
HOT_SHARE = 0.15
SUB_AGENTS = 5
SUB_AGENT_TURNS = 2
CUSTOMERS = [Customer(name=f"customer-{number}") for number in range(40)]


@dataclass(slots=True, kw_only=True, frozen=True)
class Kind:
    """Programs of one kind."""

    name: str
    turns: int
    per_s: float
    priority: int
    target_latency_s: float
    sub_agent_share: float

    def route(self) -> Route:
        """Return the route of the kind's turns."""
        return Route(
            name=self.name,
            host="h",
            prefix=f"/{self.name}/",
            kind=RouteKind.STREAMING,
            services=(("svc", 1),),
            timeout_s=DEADLINE_S,
            target_latency_s=self.target_latency_s,
            priority=self.priority,
        )


SHORT = Kind(
    name="short",
    turns=3,
    per_s=25.0,
    priority=0,
    target_latency_s=0.25,
    sub_agent_share=0.05,
)
LONG = Kind(
    name="long",
    turns=9,
    per_s=8.0,
    priority=2,
    target_latency_s=0.5,
    sub_agent_share=0.25,
)
KINDS = (SHORT, LONG)


@dataclass(slots=True, kw_only=True)
class Program:
    """One program and what became of it."""

    number: int
    kind: Kind
    customer: Customer
    began_s: float
    # For each turn, whether sub-agents run after it.
    fans: list[bool]
    aim_s: float
    ended_s: float | None = None
    failed: bool = False
    started: bool = False
    first_refused_s: float | None = None

    def in_aim(self) -> bool:
        """Return whether the program ended within its time."""
        return self.ended_s is not None and self.ended_s - self.began_s <= self.aim_s


@dataclass(slots=True, kw_only=True)
class Turn:
    """One turn of a program or of one of its sub-agents."""

    program: Program
    parts: int
    on_done: Callable[[], None]
    deadline_s: float = 0.0
    attempts: int = 0
    restarts: int = 0
    sent: bool = False


Rank = Callable[[InboundRequest, Route, float], tuple[float, ...]]


def rank_by_arrival(
    inbound: InboundRequest, route: Route, now_s: float
) -> tuple[float, ...]:
    """Order of an engine's own queue."""
    return (now_s,)


def rank_by_route(
    inbound: InboundRequest, route: Route, now_s: float
) -> tuple[float, ...]:
    """Order of the entries for deployments without customers."""
    return (float(route.priority), 1.0, now_s + (inbound.finish_s or 0.0))


class ProgramLoad:
    """Programs, slots, and the entries' decisions.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    rank : callable, optional
        Order without admission; None for the order and admission of the product.
    factors : list of (float, float, str, float)
        Start, end, kind (or ``hot`` for a customer) and factor of each burst.
    """

    def __init__(
        self,
        *,
        seed: int,
        rank: Rank | None = None,
        factors: list[tuple[float, float, str, float]],
    ) -> None:
        self.clock = EventClock()
        # The arrivals do not depend on what is decided.
        self.arrivals = {kind.name: Random(f"{seed}/{kind.name}") for kind in KINDS}
        self.random = Random(seed + 1)
        self.rank = rank
        self.factors = factors
        self.programs: list[Program] = []
        self.busy = 0
        self.waiting: list[tuple[tuple[float, ...], int, Turn, bool]] = []
        # Time and taken slots at each measurement.
        self.usage: list[tuple[float, int]] = []
        self.waiting_by_customer: Counter[str] = Counter()
        self.view: ServiceLoad | None = None
        self.sequence = 0
        self.completed = 0
        self.rate_per_s = 0.0
        self.policies = [
            ProgramPolicy(
                clock=self.clock,
                load=lambda service: self.view,
                waiting=lambda service: self.waiting_by_customer,
                telemetry=Telemetry(),
                random_share=self.random.random,
            )
            for _ in range(ENTRIES)
        ]

    def run(self, until_s: float) -> None:
        """Run programs that arrive before `until_s`, and let them end."""
        for kind in KINDS:
            self.clock.after(0.0, self._arrive, kind, until_s)
        self.clock.after(0.0, self._measure)
        self.clock.run(until_s + 30.0)

    def _factor(self, name: str) -> float:
        now_s = self.clock.now_s
        found = [f for a, b, n, f in self.factors if n == name and a <= now_s < b]
        return found[0] if found else 1.0

    def _arrive(self, kind: Kind, until_s: float) -> None:
        arrivals = self.arrivals[kind.name]
        now_s = self.clock.now_s
        if now_s >= until_s:
            return
        burst = self._factor(kind.name)
        hot = HOT_SHARE * self._factor("hot") * burst
        usual = (1.0 - HOT_SHARE) * burst
        hot_share = hot / (usual + hot)
        rate_per_s = kind.per_s * (usual + hot)
        self.clock.after(arrivals.expovariate(rate_per_s), self._arrive, kind, until_s)
        customer = CUSTOMERS[0]
        if arrivals.random() >= hot_share:
            customer = arrivals.choice(CUSTOMERS[1:])
        count = max(1, round(arrivals.gauss(kind.turns, 0.4 * kind.turns)))
        fans = [arrivals.random() < kind.sub_agent_share for _ in range(count)]
        fans[-1] = False
        stages = count + SUB_AGENT_TURNS * sum(fans)
        idle_s = stages * (TURN_S + WAY_S) + (stages - 1) * PAUSE_S
        program = Program(
            number=len(self.programs),
            kind=kind,
            customer=customer,
            began_s=now_s,
            fans=fans,
            aim_s=1.2 * idle_s + kind.target_latency_s,
        )
        self.programs.append(program)
        self._run_turn(program, 0)

    def _run_turn(self, program: Program, number: int) -> None:
        if number == len(program.fans):
            program.ended_s = self.clock.now_s
            return
        parts = 2 + 2 * number

        def done() -> None:
            if not program.fans[number]:
                self.clock.after(PAUSE_S, self._run_turn, program, number + 1)
                return
            open_lines = [SUB_AGENTS]

            def line_done() -> None:
                open_lines[0] -= 1
                if open_lines[0] == 0:
                    self.clock.after(PAUSE_S, self._run_turn, program, number + 1)

            for _ in range(SUB_AGENTS):
                self.clock.after(
                    PAUSE_S, self._run_line, program, parts + 2, 0, line_done
                )

        self._send_new(Turn(program=program, parts=parts, on_done=done))

    def _run_line(
        self, program: Program, parts: int, number: int, on_done: Callable[[], None]
    ) -> None:
        if number == SUB_AGENT_TURNS:
            on_done()
            return

        def done() -> None:
            self.clock.after(
                PAUSE_S, self._run_line, program, parts + 2, number + 1, on_done
            )

        self._send_new(Turn(program=program, parts=parts, on_done=done))

    def _send_new(self, turn: Turn) -> None:
        turn.deadline_s = self.clock.now_s + DEADLINE_S
        turn.attempts = 0
        self._send(turn)

    def _send(self, turn: Turn) -> None:
        program = turn.program
        if program.failed:
            return
        now_s = self.clock.now_s
        kind = program.kind
        turn.attempts += 1
        turn.sent = False
        inbound = InboundRequest(
            request_id="r",
            method="POST",
            target="/",
            host="h",
            forwarded_headers=[],
            customer=program.customer,
            program_id=str(program.number),
            finish_s=program.began_s + program.aim_s - now_s,
            deadline_s=turn.deadline_s - now_s,
            prompt_parts=tuple((str(part), 300) for part in range(turn.parts)),
        )
        if self.rank is not None:
            rank = self.rank(inbound, kind.route(), now_s)
            under_way = turn.parts > 2
        else:
            # A program's turns come in through the entries of its zone.
            policy = self.policies[
                (program.number % 6) * ENTRIES // 6 + self.random.randrange(4)
                if self.random.random() < 0.5
                else program.number % ENTRIES
            ]
            state = policy.state_of(inbound, kind.route())
            decision = policy.decide(inbound, kind.route(), "svc", state, now_s)
            if decision.admission.reason:
                self._refused(turn, decision.admission.retry_after_s)
                return
            rank, under_way = decision.rank or (0.0, 0.0, now_s), state.under_way
        program.started = True
        self.sequence += 1
        self.waiting_by_customer[program.customer.name] += 1
        heappush(self.waiting, (rank, self.sequence, turn, under_way))
        self.clock.after(turn.deadline_s - now_s, self._expire, turn, turn.restarts)
        self._start_waiting()

    def _expire(self, turn: Turn, restarts: int) -> None:
        if turn.sent or turn.restarts != restarts:
            return
        for position, item in enumerate(self.waiting):
            if item[2] is turn:
                del self.waiting[position]
                self._left_queue(turn)
                self.waiting.sort()
                self._failed(turn)
                return

    def _refused(self, turn: Turn, retry_after_s: float) -> None:
        program = turn.program
        if program.first_refused_s is None:
            program.first_refused_s = self.clock.now_s - program.began_s
        left_s = turn.deadline_s - self.clock.now_s
        if turn.attempts < 2 and left_s > 0.1:
            self.clock.after(min(retry_after_s, left_s / 3), self._send, turn)
            return
        self._failed(turn)

    def _failed(self, turn: Turn) -> None:
        turn.restarts += 1
        if turn.restarts > 2:
            turn.program.failed = True
            return
        self.clock.after(self.random.uniform(0.1, 0.4), self._send_new, turn)

    def _start_waiting(self) -> None:
        while self.busy < SLOTS and self.waiting:
            _, _, turn, _ = heappop(self.waiting)
            self._left_queue(turn)
            turn.sent = True
            self.busy += 1
            factor = 1.0 + (FULL_BATCH_FACTOR - 1.0) * self.busy / SLOTS
            run_s = TURN_S * factor * self.random.uniform(0.7, 1.3)
            self.clock.after(run_s, self._completed, turn)

    def _left_queue(self, turn: Turn) -> None:
        name = turn.program.customer.name
        self.waiting_by_customer[name] -= 1
        if not self.waiting_by_customer[name]:
            del self.waiting_by_customer[name]

    def _completed(self, turn: Turn) -> None:
        self.busy -= 1
        self.completed += 1
        self.clock.after(WAY_S, turn.on_done)
        self._start_waiting()

    def _measure(self) -> None:
        self.usage.append((self.clock.now_s, self.busy))
        rate_per_s = self.completed / VIEW_INTERVAL_S
        self.completed = 0
        self.rate_per_s += 0.3 * (rate_per_s - self.rate_per_s)
        under_way = sum(1 for item in self.waiting if item[3])
        load = ServiceLoad(
            slots=SLOTS,
            in_flight=self.busy,
            waiting_under_way=under_way,
            waiting_new=len(self.waiting) - under_way,
            completed_per_s=self.rate_per_s,
            entries=ENTRIES,
            measured_at_s=self.clock.now_s + VIEW_DELAY_S,
        )
        self.clock.after(VIEW_DELAY_S, self._receive, load)
        self.clock.after(VIEW_INTERVAL_S, self._measure)

    def _receive(self, load: ServiceLoad) -> None:
        self.view = load

    def began_in(
        self, start_s: float, end_s: float, kind: Kind | None = None
    ) -> list[Program]:
        """Return the programs that began in a span."""
        return [
            program
            for program in self.programs
            if start_s <= program.began_s < end_s and kind in (None, program.kind)
        ]
