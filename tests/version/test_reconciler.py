"""Tests of the reconciler against upstreams with slow loads and late reports."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from lentilroad.clock import LoopClock
from lentilroad.errors import StaleEpochError, UnavailableError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.model import ConfigurationVersion, Head
from lentilroad.version.reconcile_lease import ReconcileLease
from lentilroad.version.reconciler import Reconciler
from lentilroad.version.text import compile_text
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.test_reconcile import MEMBERSHIP, TEXT, _engines

REPORT_LAG_S = 2.5
LOAD_S = 4.0


class _Region:
    """Upstreams of a region, with a load duration and a report lag."""

    def __init__(self, workers, *, faulty_version=""):
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.key_value = FakeKeyValueStore()
        self.workers = {worker.upstream_id: worker for worker in workers}
        self.reported = dict(self.workers)
        self.faulty_version = faulty_version
        self.commands = []
        self.loading_peak = 0
        self.highest_number = 0
        self.lose_answers = False

    def reconciler(self, address, is_candidate=lambda: True):
        """Return the reconciler of one entry."""
        configuration = compile_text(TEXT)
        head = Head(version=1, parent=0, author="ana", time_s=0, write_id="w", parts=[])
        version = ConfigurationVersion(head=head, configuration=configuration)
        return Reconciler(
            clock=self.clock,
            lease=ReconcileLease(
                key_value=self.key_value, region="north", address=address
            ),
            is_candidate=is_candidate,
            current=lambda: version,
            workers=lambda: list(self.reported.values()),
            send=self.send,
        )

    async def send(self, command):
        """Execute a command like an engine."""
        if command.fencing_number < self.highest_number:
            raise StaleEpochError("a higher fencing number was received")
        self.highest_number = command.fencing_number
        self.commands.append(command)
        if command.action == "load_adapter":
            worker = self.workers[command.upstream_id]
            adapters = {**worker.adapters, command.name: command.version}
            self._set(replace(worker, adapters=adapters))
        if command.action == "load":
            asyncio.get_running_loop().create_task(self._load(command))
        if self.lose_answers:
            raise UnavailableError("no answer", outcome="unknown")

    def _set(self, worker):
        self.workers[worker.upstream_id] = worker
        asyncio.get_running_loop().call_later(
            REPORT_LAG_S, self.reported.__setitem__, worker.upstream_id, worker
        )

    async def _load(self, command):
        worker = replace(
            self.workers[command.upstream_id],
            name=command.name,
            version=command.version,
            adapters={},
            state="loading",
        )
        self._set(worker)
        loading = [w for w in self.workers.values() if w.state == "loading"]
        self.loading_peak = max(self.loading_peak, len(loading))
        await asyncio.sleep(LOAD_S)
        if command.version == self.faulty_version:
            self._set(replace(worker, state="failed", failure="out of memory"))
        else:
            self._set(replace(worker, state="serving"))


async def _run(region, reconciler, duration_s):
    task = asyncio.create_task(reconciler.run())
    await region.clock.sleep(duration_s)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_rollout_loads_each_worker_once_and_one_at_a_time():
    """A late report must not cause a repeated or a concurrent load."""

    async def main():
        region = _Region([*_engines("1", "1", "1"), MEMBERSHIP])
        reconciler = region.reconciler("a:1")
        await _run(region, reconciler, 60)
        assert {w.version for w in region.workers.values() if w.kind == "engine"} == {
            "2"
        }
        loads = [c.upstream_id for c in region.commands if c.action == "load"]
        assert sorted(loads) == ["e0", "e1", "e2"]
        assert region.loading_peak == 1
        assert all(w.adapters == {"tango": "1"} for w in _coaches(region))
        assert reconciler.status.blocked == {}

    run_virtual(main())


def _coaches(region):
    return [worker for worker in region.workers.values() if worker.name == "coach"]


def test_faulty_version_stops_at_the_first_worker():
    """The other workers must keep serving if a version cannot be loaded."""

    async def main():
        region = _Region([*_engines("1", "1", "1"), MEMBERSHIP], faulty_version="2")
        reconciler = region.reconciler("a:1")
        await _run(region, reconciler, 120)
        assert [c.upstream_id for c in region.commands] == ["e0"]
        assert [worker.version for worker in _coaches(region)] == ["2", "1", "1"]
        assert "out of memory" in reconciler.status.blocked["coach"]

    run_virtual(main())


def test_dependency_serves_before_its_dependent_loads():
    """The first calls of a model fail if it starts before a required service."""

    async def main():
        idle = replace(MEMBERSHIP, name="", version="")
        region = _Region([*_engines("", "", ""), idle])
        await _run(region, region.reconciler("a:1"), 60)
        assert region.commands[0].name == "membership"
        assert region.commands[1].name == "coach"
        assert len(_coaches(region)) == 3

    run_virtual(main())


def test_lost_answer_does_not_repeat_a_running_load():
    """Repeating a running load would double the traffic of the weight store."""

    async def main():
        region = _Region([*_engines("1", "1", "1"), MEMBERSHIP])
        region.lose_answers = True
        await _run(region, region.reconciler("a:1"), 60)
        loads = [c.upstream_id for c in region.commands if c.action == "load"]
        assert sorted(loads) == ["e0", "e1", "e2"]

    run_virtual(main())


def test_paused_holder_sends_nothing_after_a_takeover():
    """An entry resumed after a pause must not send its outdated fencing number."""

    async def main():
        region = _Region([*_engines("1", "1", "1"), MEMBERSHIP])
        holder = {"name": "a:1"}
        first = region.reconciler("a:1", lambda: True)
        second = region.reconciler("b:1", lambda: holder["name"] == "b:1")
        tasks = [asyncio.create_task(entry.run()) for entry in (first, second)]
        await region.clock.sleep(3)
        holder["name"] = "b:1"
        await region.clock.sleep(60)
        numbers = [command.fencing_number for command in region.commands]
        assert numbers == sorted(numbers)
        assert len(_coaches(region)) == 3
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(main())


def test_key_value_outage_stops_commands_but_not_the_reconciler():
    """Without the key-value service no entry can confirm that it holds the lease."""

    async def main():
        region = _Region([*_engines("1", "1", "1"), MEMBERSHIP])
        reconciler = region.reconciler("a:1")
        region.key_value.down = True
        await _run(region, reconciler, 20)
        assert region.commands == []
        assert reconciler.status.last_error
        region.key_value.down = False
        await _run(region, reconciler, 60)
        assert len([c for c in region.commands if c.action == "load"]) == 3

    run_virtual(main())
