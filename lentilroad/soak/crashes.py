"""Requests that crash the workers that run them, and the checks of what follows."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from lentilroad.soak.world import ProgramProcess, World
from lentilroad.standins.platform_worker import Run

# Bounds of the platform's rules: this long after its third crash, such a request may
# reach workers three more times through undisturbed entries.
CRASHES_TO_LEARN = 3
ALLOWED_RETRIES = 3
SETTLING_S = 4.0
BAN_CODE = b"crashes_instances"
CRASHING_PATHS = ("/turn/crash", "/charge/crash", "/read/crash")


@dataclass(slots=True, kw_only=True)
class CrashChecks:
    """Requests that crash workers, and the entries that received them.

    Attributes
    ----------
    bodies : list of bytes
        Ends of the bodies that crash a worker.
    sent_to : dict of str to ProgramProcess
        Entry that received each request, by request id.
    banned_sound : list of str
        Requests that were refused as crashing although they crash nothing.
    """

    bodies: list[bytes] = field(default_factory=list)
    sent_to: dict[str, ProgramProcess] = field(default_factory=dict)
    banned_sound: list[str] = field(default_factory=list)

    def crashes_worker(self, body: bytes) -> bool:
        """Return whether a worker crashes while it runs a body."""
        return any(body.endswith(crashing) for crashing in self.bodies)

    def record_refusal(self, request_id: str, body: bytes, reply: bytes) -> None:
        """Record a refused request."""
        if BAN_CODE in reply and not self.crashes_worker(body):
            self.banned_sound.append(request_id)

    def violations(self, runs: Iterable[Run]) -> list[str]:
        """Return the sound requests that were banned, and crashes beyond the bound."""
        found = [f"{request_id} was banned" for request_id in self.banned_sound]
        by_body: dict[bytes, list[Run]] = defaultdict(list)
        for run in runs:
            for body in self.bodies:
                if run.body.endswith(body):
                    by_body[body].append(run)
        for body, body_runs in by_body.items():
            body_runs.sort(key=lambda run: run.received_s)
            late = self._late_runs(body_runs)
            if len(late) > ALLOWED_RETRIES:
                # The logs name a request's sends and refusals by its id.
                late_ids = ", ".join(run.request_id for run in late)
                found.append(
                    f"{body!r} reached workers {len(late)} more times after its third "
                    f"crash ({late_ids}), {len(body_runs)} in all"
                )
        return found

    def _late_runs(self, runs: list[Run]) -> list[Run]:
        if len(runs) <= CRASHES_TO_LEARN:
            return []
        learned_s = runs[CRASHES_TO_LEARN - 1].received_s + SETTLING_S
        return [
            run
            for run in runs
            if run.request_id in self.sent_to
            and run.received_s > learned_s
            and self._is_undisturbed(run)
        ]

    def _is_undisturbed(self, run: Run) -> bool:
        """Return whether the entry of a run ran without signals for some time."""
        return not any(
            run.received_s - SETTLING_S <= disturbed_s <= run.received_s
            for disturbed_s in self.sent_to[run.request_id].disturbed_s
        )


async def crash_worker(world: World, number: int, source: random.Random) -> None:
    """Let a worker refuse connections for a time and start again."""
    worker = world.workers[number]
    link = world.worker_links[number]
    if not link.listening:
        return
    link.close()
    await asyncio.sleep(source.uniform(0.5, 2.5))
    worker.start_number += 1
    worker.limit_per_s = None
    worker.leaving = False
    await link.listen_again()
    await world.register_worker(number)
