"""CPU time of one routing decision over the fleet of the design page."""

from __future__ import annotations

import time
from random import Random

from lentilroad.clock import SystemClock
from lentilroad.request.router import Router
from lentilroad.request.routing import CallShape
from lentilroad.request.traffic import CrossRegionTraffic
from lentilroad.wire.messages import LoadReport, SidecarRecord

REGIONS = ("r0", "r1", "r2")
MODELS = 13


def fleet_router(*, workers: int, seed: int = 1) -> Router:
    """Return a router that knows `workers` engines of 13 models in 3 regions."""
    random = Random(seed)
    clock = SystemClock()
    router = Router(
        clock=clock,
        random=random,
        region="r0",
        availability_zone="r0-a",
        traffic=CrossRegionTraffic(clock=clock),
    )
    for number in range(workers):
        region = REGIONS[number % 3]
        record = SidecarRecord(
            address=f"10.0.0.1:{number}",
            upstream_id=f"u{number}",
            kind="engine",
            names=[f"model{number // 3 % MODELS}"],
            region=region,
            availability_zone=f"{region}-{'abc'[number // 39 % 3]}",
            incarnation=1,
        )
        load = LoadReport(
            running=random.randrange(60), limit=64, prefill_tokens_per_s=8000.0
        )
        router.update(record, load)
    return router


def decision_time_us(*, workers: int, programs: int = 650, rounds: int = 8) -> float:
    """Return the CPU time of one choice, in microseconds, median over rounds.

    Each round chooses once for each program; every program has a prefix at two
    engines, and the owner has one call under way for each.
    """
    router = fleet_router(workers=workers)
    addresses = [f"10.0.0.1:{number}" for number in range(0, workers, 3)]
    random = Random(2)
    for number in range(programs):
        for _ in range(2):
            address = random.choice(addresses)
            router.prefixes.record(f"p{number}", address=address, tokens=5000)
        router.started(address, call_id=f"c{number}", prefill_tokens=300)
    shape = CallShape(
        caller_id="a", region="r0", availability_zone="r0-a", prompt_tokens=6000
    )
    times_us = []
    for _ in range(rounds):
        start_s = time.process_time()
        for number in range(programs):
            router.choose(
                name=f"model{number % MODELS}", call=shape, prefix_keys=(f"p{number}",)
            )
        elapsed_s = time.process_time() - start_s
        times_us.append(1e6 * elapsed_s / programs)
    return sorted(times_us)[rounds // 2]
