"""Run random schedules of racing operators and faults, and check their histories.

Usage:
  configuration_schedules [--count=N] [--first-seed=N] [--json]

Options:
  --count=N       Schedules to run [default: 2000].
  --first-seed=N  Seed of the first schedule [default: 1].
  --json          Print JSON.
"""

from __future__ import annotations

import asyncio
import json
import random as random_module
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from docopt import docopt

from lentilroad.bench.configuration_checker import (
    check_history,
    count_cold_steps_back,
)
from lentilroad.bench.configurations import sized_text
from lentilroad.bench.memory_key_value import MemoryKeyValueStore
from lentilroad.bench.peer_network import PeerNetwork
from lentilroad.clock import LoopClock
from lentilroad.errors import ConflictError, LentilroadError
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.version.const import HEAD_KEY, PART_PREFIX
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.model import ConfigurationVersion
from lentilroad.version.parts import decode_head
from lentilroad.version.records import AppliedChange
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.sweep import HistorySweeper
from lentilroad.version.watch import is_watcher

ENTRIES = ("e0.0", "e1.0", "e2.1", "e3.1", "e4.1")
DURABLE = ("e0.0", "e2.1")
SIDECARS = ("s0.0", "s1.1")
OPERATORS = ("ana", "ben", "cora")
FAULTS_UNTIL_S = 40.0
SETTLE_S = 45.0


async def _direct(function: Callable[[], None]) -> None:
    function()


class _Schedule:
    """One run: processes, operators, faults and the recorded history."""

    def __init__(self, *, seed: int, folder: Path) -> None:
        self.random = random_module.Random(seed)
        self.folder = folder
        self.clock = LoopClock(loop=asyncio.get_running_loop())
        self.network = PeerNetwork(
            clock=self.clock,
            random=self.random,
            latency_s=lambda left, right: 0.001 if left[-1] == right[-1] else 0.012,
            loss=self.random.choice([0.0, 0.01, 0.1]),
        )
        self.key_value = MemoryKeyValueStore(
            clock=self.clock,
            random=self.random,
            lost_replies=self.random.choice([0.0, 0.1, 0.3]),
            late_writes=self.random.choice([0.0, 0.1, 0.2]),
        )
        self.history: list[dict[str, Any]] = []
        self.running: dict[str, ConfigurationDistributor] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.incarnations: dict[str, int] = {}

    def start(self, address: str) -> None:
        """Start a process, or restart it."""
        self.incarnations[address] = self.incarnations.get(address, 0) + 1
        entry = address in ENTRIES
        near = [one for one in ENTRIES if one[-1] == address[-1]]
        far = [one for one in ENTRIES if one not in near]
        distribution = ConfigurationDistributor(
            call=self.network.call_from(address),
            clock=self.clock,
            random=self.random,
            peers=lambda: near,
            remote_region_peers=lambda: far if entry else [],
            address=address if entry else "",
            data_folder=self.folder / address if address in DURABLE else None,
            key_value=self.key_value if entry else None,
            is_watcher=lambda: entry and is_watcher(address, self._alive(near)),
            run_blocking=_direct,
        )
        distribution.on_change(self._record(address, self.incarnations[address]))
        self.running[address] = distribution
        self.network.handlers[address] = distribution.handlers()
        self.network.dead.discard(address)
        self.tasks[address] = asyncio.create_task(distribution.run())

    def kill(self, address: str) -> None:
        """End a process at once."""
        self.tasks.pop(address).cancel()
        del self.running[address]
        self.network.dead.add(address)

    def _alive(self, addresses: list[str]) -> list[str]:
        return [one for one in addresses if one in self.running]

    def _record(
        self, address: str, incarnation: int
    ) -> Callable[[ConfigurationVersion], None]:
        def record(version: ConfigurationVersion) -> None:
            self.history.append(
                {
                    "kind": "in_force",
                    "process": address,
                    "incarnation": incarnation,
                    "durable": address in DURABLE,
                    "version": version.version,
                    "write_id": version.head.write_id,
                    "content": version.configuration.general.budget.turns,
                }
            )

        return record

    async def operate(self, name: str) -> None:
        """Change the configuration again and again, sometimes from a stale view."""
        seen = 0
        while self.clock.monotonic_s() < FAULTS_UNTIL_S:
            await self.clock.sleep(self.random.uniform(0.1, 4.0))
            alive = self._alive(list(ENTRIES))
            if not alive:
                continue
            distribution = self.running[self.random.choice(alive)]
            write_id = f"{self.random.getrandbits(64):016x}"
            store = ConfigurationStore(
                key_value=self.key_value,
                clock=self.clock,
                random=self.random,
                on_applied=distribution.distribute
                if self.random.random() < 0.5
                else None,
                local_part=distribution.local_part,
                new_write_id=lambda write_id=write_id: write_id,
            )
            if self.random.random() < 0.7:
                seen = await self._newest(store, seen)
            task = asyncio.create_task(self._change(store, name, seen, write_id))
            # An operator's entry may die at any moment of the change.
            limit_s = self.random.choice([0.005, 0.02, 0.1, 60.0, 60.0, 60.0])
            await asyncio.wait({task}, timeout=limit_s)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _newest(self, store: ConfigurationStore, seen: int) -> int:
        try:
            head = await store.read_head()
        except LentilroadError:
            return seen
        return head.version if head else 0

    async def _change(
        self, store: ConfigurationStore, name: str, seen: int, write_id: str
    ) -> None:
        turns = self.random.randrange(1, 1_000_000)
        text = sized_text(models=1, callers=2).replace(
            "regions:", f"budget: {{turns: {turns}}}\nregions:", 1
        )
        rollback = seen > 1 and self.random.random() < 0.2
        target = self.random.randrange(1, seen) if rollback else 0
        self.history.append({"kind": "started", "write_id": write_id})
        sent_id = None if self.random.random() < 0.5 else write_id
        outcomes = set()
        for _ in range(self.random.choice([1, 1, 3])):
            try:
                if rollback:
                    applied = await store.rollback(target, name, seen, write_id=sent_id)
                else:
                    applied = await store.apply(text, name, seen, write_id=sent_id)
            except LentilroadError as error:
                outcomes.add(error.outcome)
                if isinstance(error, ConflictError) or sent_id is None:
                    break
                await self.clock.sleep(self.random.uniform(0.0, 2.0))
                continue
            self._note_accepted(applied, write_id, None if rollback else turns)
            return
        kind = "refused" if outcomes == {"not_run"} else "unknown"
        self.history.append({"kind": kind, "write_id": write_id})

    def _note_accepted(
        self, applied: AppliedChange, write_id: str, turns: int | None
    ) -> None:
        if not applied.changed:
            return
        event = {
            "kind": "accepted",
            "write_id": write_id,
            "version": applied.head.version,
        }
        if turns is not None:
            event["content"] = turns
        self.history.append(event)

    async def inject_faults(self) -> None:
        """Cause 2 to 6 faults."""
        for _ in range(self.random.randint(2, 6)):
            await self.clock.sleep(self.random.uniform(0.0, FAULTS_UNTIL_S / 6))
            fault = self.random.choice([self._outage, self._restart, self._split])
            await fault()

    async def sweep(self) -> None:
        """Remove old versions all the time, with very little history kept."""
        sweeper = HistorySweeper(
            key_value=self.key_value,
            clock=self.clock,
            keep_versions=self.random.choice([2, 5]),
        )
        while self.clock.monotonic_s() < FAULTS_UNTIL_S:
            await self.clock.sleep(self.random.uniform(0.0, 2.0))
            sweeping = asyncio.create_task(sweeper.sweep())
            # A sweeper may die at any moment, too.
            limit_s = self.random.choice([0.3, 60.0, 60.0])
            await asyncio.wait({sweeping}, timeout=limit_s)
            sweeping.cancel()
            (result,) = await asyncio.gather(sweeping, return_exceptions=True)
            if isinstance(result, int) and result:
                self.history.append({"kind": "swept", "versions": result})

    async def _outage(self) -> None:
        self.key_value.set_down(True)
        await self.clock.sleep(self.random.uniform(0.1, 8.0))
        self.key_value.set_down(False)

    async def _restart(self) -> None:
        alive = self._alive([*ENTRIES, *SIDECARS])
        chosen = self.random.sample(alive, self.random.randint(1, 3))
        for address in chosen:
            self.kill(address)
        await self.clock.sleep(self.random.uniform(0.0, 4.0))
        for address in chosen:
            self.start(address)

    async def _split(self) -> None:
        self.network.blocked = lambda left, right: left[-1] != right[-1]
        await self.clock.sleep(self.random.uniform(0.5, 8.0))
        self.network.blocked = lambda left, right: False

    async def run(self) -> list[dict[str, Any]]:
        """Run the schedule and return its history."""
        for address in (*ENTRIES, *SIDECARS):
            self.start(address)
        await asyncio.gather(
            *(self.operate(name) for name in OPERATORS),
            self.inject_faults(),
            self.sweep(),
        )
        self.key_value.set_down(False)
        await self.clock.sleep(SETTLE_S)
        self._record_end()
        for address in list(self.tasks):
            self.kill(address)
        return self.history

    def _record_end(self) -> None:
        head = None
        for value in self.key_value.written.get(HEAD_KEY, []):
            head = decode_head(value)
            self.history.append(
                {
                    "kind": "stored",
                    "version": head.version,
                    "parent": head.parent,
                    "write_id": head.write_id,
                }
            )
        for digest in [*head.parts, *head.text_parts] if head else ():
            if PART_PREFIX + digest not in self.key_value.items:
                self.history.append({"kind": "lost_part", "digest": digest})
        for address, distribution in self.running.items():
            self.history.append(
                {"kind": "final", "process": address, "version": distribution.version}
            )


def run_schedule(seed: int) -> list[dict[str, Any]]:
    """Run one schedule in virtual time and return its history."""

    async def main(folder: Path) -> list[dict[str, Any]]:
        return await _Schedule(seed=seed, folder=folder).run()

    with tempfile.TemporaryDirectory() as folder:
        return run_virtual(main(Path(folder)))


def run_schedules(*, count: int, first_seed: int = 1) -> dict[str, Any]:
    """Run schedules and count violations and what they covered."""
    totals = {"schedules": count, "changes": 0, "accepted": 0, "refused": 0}
    totals |= {"unknown": 0, "in_force": 0, "cold_steps_back": 0, "swept": 0}
    violations: dict[int, list[str]] = {}
    for seed in range(first_seed, first_seed + count):
        history = run_schedule(seed)
        found = check_history(history)
        if found:
            violations[seed] = found
        totals["changes"] += sum(1 for e in history if e["kind"] == "started")
        totals["cold_steps_back"] += count_cold_steps_back(history)
        for event in history:
            if event["kind"] in ("accepted", "refused", "unknown", "in_force"):
                totals[event["kind"]] += 1
            totals["swept"] += event.get("versions", 0)
    return {**totals, "violations": violations}


def main(argv: list[str] | None = None) -> int:
    """Run the schedules; exit code 1 means that one violates a rule."""
    arguments = docopt(__doc__, argv=argv)
    result = run_schedules(
        count=int(arguments["--count"]), first_seed=int(arguments["--first-seed"])
    )
    indent = None if arguments["--json"] else 2
    sys.stdout.write(json.dumps(result, indent=indent) + "\n")
    return 1 if result["violations"] else 0


if __name__ == "__main__":
    sys.exit(main())
