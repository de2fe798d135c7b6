"""Agent programs of the soak, and checks of the guarantees they rely on."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp

from lentilroad.soak.configurations import ConfigurationChecks
from lentilroad.soak.crashes import CRASHING_PATHS, CrashChecks
from lentilroad.soak.statements import StatementChecks
from lentilroad.soak.stops import StopChecks
from lentilroad.soak.world import (
    CLIENT_PORT,
    MAX_TOKENS_PER_TURN,
    TOKENS_PER_EVENT,
    World,
)
from lentilroad.standins.platform_worker import START_NUMBER, turn_output

MAX_ATTEMPTS = 6
REPLY_TIMEOUT_S = 4.0
NOT_RUN_STATUSES = frozenset((402, 408, 421, 429, 503))


@dataclass(slots=True, kw_only=True)
class Findings:
    """Violations of guarantees, the data to check them, and request counts.

    Attributes
    ----------
    not_run : set of str
        Requests whose reply states that they did not run.
    at_most_once : set of str
        Requests that may run at most once.
    expected_bodies : dict of str to bytes
        Body that a worker must receive for each turn: its history and its input.
    """

    violations: list[str] = field(default_factory=list)
    not_run: set[str] = field(default_factory=set)
    at_most_once: set[str] = field(default_factory=set)
    expected_bodies: dict[str, bytes] = field(default_factory=dict)
    statements: StatementChecks = field(default_factory=StatementChecks)
    crashes: CrashChecks = field(default_factory=CrashChecks)
    configurations: ConfigurationChecks = field(default_factory=ConfigurationChecks)
    stops: StopChecks = field(default_factory=StopChecks)
    storage_changes: int = 0
    planned_stops: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0

    def check_runs(self, world: World) -> None:
        """Check the replies against the requests that the workers ran."""
        for request_id, runs in world.log.runs.items():
            if request_id in self.at_most_once and len(runs) > 1:
                self.violations.append(f"{request_id} ran {len(runs)} times")
            if request_id in self.not_run:
                self.violations.append(f"{request_id} was refused but ran")
            expected = self.expected_bodies.get(request_id)
            if expected is not None and any(run.body != expected for run in runs):
                self.violations.append(f"{request_id} ran with a wrong history")
        all_runs = [run for runs in world.log.runs.values() for run in runs]
        self.violations += self.statements.violations(all_runs)
        self.violations += self.crashes.violations(all_runs)
        self.violations += self.configurations.violations


class Caller:
    """Client that runs programs through random entries.

    Parameters
    ----------
    world : World
        Processes and stand-ins.
    source : random.Random
        Source of all random choices.
    """

    def __init__(self, *, world: World, source: random.Random) -> None:
        self.findings = Findings()
        self._world = world
        self._source = source
        self._count = 0

    async def run_program(self, session: aiohttp.ClientSession) -> None:
        """Run one program of turns, forks and charges; stops when a turn fails."""
        program_id = f"p{self._source.getrandbits(48):x}"
        turns = self._source.randint(2, 6)
        budget = self._source.randint(2, turns + 2) * MAX_TOKENS_PER_TURN
        # Request ids of completed turns, each with the conversation up to its end.
        completed: list[tuple[str, bytes]] = [("", b"")]
        received_tokens = 0
        for _ in range(turns):
            previous, history = self._source.choice(completed[-2:])
            text = f"in {self._source.getrandbits(32):x}\n".encode()
            for _ in range(MAX_ATTEMPTS):
                request_id = self._new_id()
                self.findings.expected_bodies[request_id] = history + text
                status, reply, complete = await self._send(
                    session,
                    "/turn/x",
                    request_id,
                    text,
                    {
                        "Lentilroad-Program-Id": program_id,
                        "Lentilroad-Token-Budget": str(budget),
                        "Lentilroad-Token-Counts": f"10,{MAX_TOKENS_PER_TURN}",
                        **({"Lentilroad-Previous-Turn": previous} if previous else {}),
                    },
                )
                received_tokens += TOKENS_PER_EVENT * reply.count(b"data:")
                if status == 404:
                    self.findings.violations.append(
                        f"{request_id}: previous turn {previous} was not found"
                    )
                if status == 402 or (status == 200 and complete):
                    break
                await asyncio.sleep(self._source.uniform(0.05, 0.4))
            if status != 200 or not complete:
                break
            completed.append((request_id, history + text + turn_output(request_id)))
            if self._source.random() < 0.4:
                await self._charge(session)
        if received_tokens > budget + MAX_TOKENS_PER_TURN:
            self.findings.violations.append(
                f"{program_id} received {received_tokens} tokens, budget {budget}"
            )

    async def run_long_conversation(self, session: aiohttp.ClientSession) -> None:
        """Continue one conversation for as long as the soak runs."""
        clock = asyncio.get_running_loop().time
        retention_s = self._world.retention_s
        previous, history, answered_s = "", b"", clock()
        while True:
            request_id = self._new_id()
            text = f"in {self._source.getrandbits(32):x}\n".encode()
            self.findings.expected_bodies[request_id] = history + text
            status, _, complete = await self._send(
                session,
                "/turn/x",
                request_id,
                text,
                {"Lentilroad-Previous-Turn": previous} if previous else {},
            )
            if status == 404:
                age_s = clock() - answered_s
                if age_s < retention_s:
                    self.findings.violations.append(
                        f"{request_id}: turn {previous}, answered {age_s:.1f} s "
                        "before, was not found"
                    )
                previous, history = "", b""
            elif status == 200 and complete:
                history += text + turn_output(request_id)
                previous, answered_s = request_id, clock()
            await asyncio.sleep(self._source.uniform(0.05, retention_s / 4))

    async def charge_regularly(self, session: aiohttp.ClientSession) -> None:
        """Send requests that may run once, also to entries that stop."""
        while True:
            await self._charge(session)
            await asyncio.sleep(self._source.uniform(0.0, 0.1))

    async def send_crashing_request(self, session: aiohttp.ClientSession) -> None:
        """Send a request that crashes its worker, again and again."""
        path = self._source.choice(CRASHING_PATHS)
        body = f"crash {self._source.getrandbits(32):x}\n".encode()
        await asyncio.sleep(self._source.uniform(1.0, 4.0))
        self.findings.crashes.bodies.append(body)
        while True:
            await self._send(session, path, self._new_id(), body, {})
            await asyncio.sleep(self._source.uniform(0.1, 0.6))

    async def _charge(self, session: aiohttp.ClientSession) -> None:
        request_id = self._new_id()
        status, reply, complete = await self._send(
            session, "/charge/x", request_id, b"charge", {}
        )
        if status == 200 and complete and reply != f"answer {request_id}".encode():
            self.findings.violations.append(f"{request_id} received a wrong reply")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        path: str,
        request_id: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, bytes, bool]:
        findings = self.findings
        if not path.startswith("/read/"):
            findings.at_most_once.add(request_id)
        entry = self._source.choice(self._world.entries)
        received = bytearray()
        status = 0
        clock = asyncio.get_running_loop().time
        sent_s = clock()
        findings.statements.record_sent(request_id, entry, sent_s)
        findings.crashes.sent_to[request_id] = entry
        try:
            async with (
                asyncio.timeout(REPLY_TIMEOUT_S),
                session.post(
                    f"http://{entry.ip}:{CLIENT_PORT}{path}",
                    data=body,
                    headers={
                        "Host": "soak.example",
                        "Lentilroad-Attempt-Id": request_id,
                        "Lentilroad-Deadline-Milliseconds": "3000",
                        **headers,
                    },
                ) as response,
            ):
                status = response.status
                instance_id = response.headers.get("Lentilroad-Instance-Id")
                if instance_id is not None:
                    findings.statements.record_answer(
                        entry,
                        (instance_id, int(response.headers[START_NUMBER])),
                        response.headers,
                        clock(),
                    )
                async for chunk in response.content.iter_any():
                    received += chunk
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            # The entry was killed or paused, or it broke the reply off.
            findings.failed += 1
            findings.stops.record_unanswered(
                request_id, entry, error, sent_s=sent_s, now_s=clock()
            )
            return status, bytes(received), False
        if status in NOT_RUN_STATUSES:
            findings.not_run.add(request_id)
            findings.refused += 1
            findings.crashes.record_refusal(request_id, body, bytes(received))
        elif status == 200:
            findings.served += 1
        return status, bytes(received), True

    def _new_id(self) -> str:
        self._count += 1
        return f"r{self._count:08d}"
