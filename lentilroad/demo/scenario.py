"""Run one deployment: start it, drive programs, disturb it, and judge it."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from lentilroad.adapters.etcd import EtcdKeyValueStore
from lentilroad.clock import SystemClock
from lentilroad.demo import const
from lentilroad.demo.evidence import (
    Evidence,
    VersionObservation,
    engine_states,
    observe_versions,
    read_json,
    sample_memory,
    service_references,
)
from lentilroad.demo.layout import Instance, Layout, build_layout
from lentilroad.demo.processes import Processes, wait_for_url
from lentilroad.demo.promises import Promise, judge
from lentilroad.load.client import LoadClient
from lentilroad.load.results import ProgramResult, summarize
from lentilroad.load.workloads import Deployment, generate_programs
from lentilroad.standins.engine import count_tokens, expected_text
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.text import compile_text
from lentilroad.wire.messages import ChatMessage

MESSAGE_OVERHEAD_TOKENS = 4


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What one deployment gave."""

    name: str
    summary: dict[str, float | int] = field(default_factory=dict)
    promises: list[Promise] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


def expected_answer(
    model: str, conversation: list[tuple[str, str]], max_tokens: int
) -> str:
    """Return what the stand-in engine answers to a conversation."""
    messages = [ChatMessage(role=role, content=text) for role, text in conversation]
    return expected_text(model, messages, max_tokens=max_tokens)


@dataclass(slots=True, kw_only=True)
class Scenario:
    """One deployment of the demonstration.

    Parameters
    ----------
    deployment : Deployment
        Programs to drive.
    text : str
        Operators' configuration.
    key : str
        Caller's key.
    folder : Path
        Receives settings, logs and output.
    subnet : str
        First three numbers of the loopback addresses.
    seed : int
        Seed of the programs.
    on_progress : callable
        Called after each program.
    """

    deployment: Deployment
    text: str
    key: str
    folder: Path
    subnet: str
    seed: int
    on_progress: Callable[[], None]
    evidence: Evidence = field(default_factory=Evidence)
    results: list[ProgramResult] = field(default_factory=list)
    ended: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    started_s: float = field(default_factory=time.monotonic)

    async def run(self) -> Outcome:
        """Run the deployment from start to stop."""
        configuration = compile_text(self.text, file=f"{self.deployment.name}.yaml")
        layout = build_layout(
            configuration=configuration, folder=self.folder, subnet=self.subnet
        )
        processes = Processes(folder=self.folder)
        timeout = aiohttp.ClientTimeout(total=5)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            try:
                self._say(f"starting {len(layout.all())} processes")
                await self._start(session, processes, layout)
                self._say("running programs")
                await self._drive(session, processes, layout)
                self._say("judging")
                return await self._judge(session, layout)
            finally:
                self._say("stopping")
                await processes.stop_all()

    def _say(self, text: str) -> None:
        elapsed_s = time.monotonic() - self.started_s
        sys.stderr.write(f"{elapsed_s:5.1f} s  {self.deployment.name}: {text}\n")

    async def _start(
        self, session: aiohttp.ClientSession, processes: Processes, layout: Layout
    ) -> None:
        for instance in layout.all():
            processes.start(instance)
        await wait_for_url(
            session,
            processes,
            layout.key_value,
            f"http://{layout.key_value.host}:{const.KEY_VALUE_PORT}/admin/counts",
        )
        await self._apply(layout, self.text, based_on_version=0)
        for instance in [*layout.entries, *layout.sidecars]:
            url = f"{instance.http_url}/readyz"
            await wait_for_url(session, processes, instance, url)
        await self._wait_for_directory(session, layout)

    async def _wait_for_directory(
        self, session: aiohttp.ClientSession, layout: Layout
    ) -> None:
        """Wait until every entry knows every sidecar."""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + const.START_TIMEOUT_S
        while loop.time() < give_up_s:
            statuses = await asyncio.gather(
                *(
                    read_json(session, f"{one.http_url}/operator/v1/status")
                    for one in layout.entries
                )
            )
            if all(
                status is not None and len(status["sidecars"]) == len(layout.sidecars)
                for status in statuses
            ):
                return
            await asyncio.sleep(const.POLL_INTERVAL_S)

    async def _apply(self, layout: Layout, text: str, *, based_on_version: int) -> int:
        clock = SystemClock()
        url = f"http://{layout.key_value.host}:{const.KEY_VALUE_PORT}"
        key_value = EtcdKeyValueStore(clock=clock, endpoints=[url])
        store = ConfigurationStore(key_value=key_value, clock=clock)
        try:
            applied = await store.apply(
                text, author="demo", based_on_version=based_on_version
            )
        finally:
            await key_value.close()
        return applied.head.version

    # Programs and disturbances

    async def _drive(
        self, session: aiohttp.ClientSession, processes: Processes, layout: Layout
    ) -> None:
        sampler = asyncio.ensure_future(
            sample_memory(session, layout, self.ended, self.evidence)
        )
        disturbances = asyncio.ensure_future(self._disturb(session, processes, layout))
        programs = generate_programs(
            deployment=self.deployment,
            count=const.PROGRAMS_PER_DEPLOYMENT,
            seed=self.seed,
            max_turns=const.MAX_TURNS,
        )
        slots = asyncio.Semaphore(const.CONCURRENT_PROGRAMS)
        regions = sorted({entry.region for entry in layout.entries})

        async def run_one(index: int) -> None:
            home = regions[index % len(regions)]
            client = LoadClient(
                session=session,
                base_urls=[e.http_url for e in layout.entries if e.region == home],
                key=self.key,
                clock=SystemClock(),
                random_source=random.Random(self.seed * 1000 + index),
                expected_answer=expected_answer,
            )
            async with slots:
                result = await client.run(programs[index])
            self.results.append(result)
            self.ended |= set(result.program_ids)
            self.on_progress()

        await asyncio.gather(*(run_one(index) for index in range(len(programs))))
        await disturbances
        sampler.cancel()

    async def _disturb(
        self, session: aiohttp.ClientSession, processes: Processes, layout: Layout
    ) -> None:
        await asyncio.sleep(const.DRAIN_SIDECAR_AFTER_S)
        drained = next(
            index
            for index, upstream in enumerate(layout.upstreams)
            if upstream.kind == "engine"
        )
        drain = asyncio.ensure_future(
            self._drain_sidecar(session, processes, layout, drained)
        )
        await asyncio.sleep(const.STOP_ENTRY_DELAY_S)
        stop = asyncio.ensure_future(self._stop_entry(processes, layout.entries[0]))
        await asyncio.sleep(const.CHANGE_CONFIGURATION_DELAY_S)
        await self._change_configuration(session, layout)
        await asyncio.sleep(const.KILL_ENTRY_DELAY_S)
        killed = layout.entries[-1]
        self.stopped.add(killed.name)
        processes.send(killed, signal.SIGKILL)
        await drain
        await stop

    async def _drain_sidecar(
        self,
        session: aiohttp.ClientSession,
        processes: Processes,
        layout: Layout,
        index: int,
    ) -> None:
        sidecar = layout.sidecars[index]
        self.stopped.add(sidecar.name)
        processes.send(sidecar, signal.SIGTERM)
        await asyncio.sleep(const.STOP_NEW_WORK_WITHIN_S)
        upstream = layout.upstreams[index]
        state = await read_json(session, f"{upstream.upstream_url}/admin/state")
        executed = len(state["executions"]) if state else 0
        self.evidence.drained_executions = (executed, executed)
        code = await processes.wait_stopped(sidecar, const.STOP_TIMEOUT_S)
        self.evidence.planned_exit_codes.append(code)

    async def _stop_entry(self, processes: Processes, entry: Instance) -> None:
        self.stopped.add(entry.name)
        self.evidence.planned_urls.append(entry.http_url)
        processes.send(entry, signal.SIGTERM)
        code = await processes.wait_stopped(entry, const.START_TIMEOUT_S)
        self.evidence.planned_exit_codes.append(code)

    def _live_entries(self, layout: Layout) -> list[Instance]:
        return [e for e in layout.entries if e.name not in self.stopped]

    def _live_processes(self, layout: Layout) -> list[Instance]:
        return [
            process
            for process in [*layout.entries, *layout.sidecars]
            if process.name not in self.stopped
        ]

    async def _change_configuration(
        self, session: aiohttp.ClientSession, layout: Layout
    ) -> None:
        """Apply a change and measure until every entry and sidecar has it."""
        loop = asyncio.get_running_loop()
        text = self.text.replace("requests_per_s: 400", "requests_per_s: 450")
        await observe_versions(session, self._live_processes(layout), self.evidence)
        version = await self._apply(
            layout, text + "\n# Changed by the demonstration.\n", based_on_version=1
        )
        self.evidence.wanted_version = version
        started_s = loop.time()
        while loop.time() - started_s < 2 * const.IN_FORCE_WITHIN_S:
            await observe_versions(session, self._live_processes(layout), self.evidence)
            newest = {o.versions[-1] for o in self._live_observations()}
            if newest == {version}:
                self.evidence.in_force_s = loop.time() - started_s
                return
            await asyncio.sleep(const.POLL_INTERVAL_S)

    def _live_observations(self) -> list[VersionObservation]:
        return [
            observation
            for process, observation in self.evidence.versions.items()
            if process not in self.stopped
        ]

    # Judgement

    async def _judge(self, session: aiohttp.ClientSession, layout: Layout) -> Outcome:
        held = await self._held_programs(session, layout)
        states = await engine_states(session, layout)
        if self.evidence.drained_executions is not None:
            engine = next(one for one in layout.upstreams if one.kind == "engine")
            at_end = len(states[engine.name]["executions"])
            after, _ = self.evidence.drained_executions
            self.evidence.drained_executions = (after, at_end)
        self.evidence.prefilled_tokens = sum(
            state["prefilled_tokens"] for state in states.values()
        )
        await observe_versions(session, self._live_processes(layout), self.evidence)
        await self._read_counts(session, layout)
        summary = summarize(self.results)
        summary["wasted_cache_tokens"] = self._recomputed_tokens()
        summary["wasted_cache_token_seconds"] = round(self.evidence.held_token_seconds)
        summary["cross_region_bytes"] = self.evidence.cross_region_bytes
        summary["key_value_calls"] = self.evidence.key_value_calls
        return Outcome(
            name=self.deployment.name,
            summary=summary,
            promises=judge(
                results=self.results,
                evidence=self.evidence,
                executed=await service_references(session, layout),
                held_programs=held,
            ),
            problems=[
                f"{result.name}: {problem}"
                for result in self.results
                for problem in result.problems
            ],
        )

    async def _held_programs(
        self, session: aiohttp.ClientSession, layout: Layout
    ) -> set[str]:
        """Return ended programs that hold memory after the time to release it."""
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + const.MEMORY_RELEASE_TIMEOUT_S
        while True:
            states = await engine_states(session, layout)
            held = {
                program_id
                for state in states.values()
                for program_id in state["programs"]
                if program_id in self.ended
            }
            if not held or loop.time() >= give_up_s:
                return held
            await asyncio.sleep(const.POLL_INTERVAL_S)

    def _recomputed_tokens(self) -> int:
        """Return prompt tokens computed beyond each new message once."""
        needed = sum(
            count_tokens(prompt) + MESSAGE_OVERHEAD_TOKENS
            for result in self.results
            for prompt in result.new_prompts
        )
        return max(0, self.evidence.prefilled_tokens - needed)

    async def _read_counts(
        self, session: aiohttp.ClientSession, layout: Layout
    ) -> None:
        for entry in self._live_entries(layout):
            status = await read_json(session, f"{entry.http_url}/operator/v1/status")
            if status is not None:
                self.evidence.cross_region_bytes += status["cross_region_bytes"]
        url = f"http://{layout.key_value.host}:{const.KEY_VALUE_PORT}/admin/counts"
        counts = await read_json(session, url)
        if counts is not None:
            self.evidence.key_value_calls = sum(counts["calls"].values())
