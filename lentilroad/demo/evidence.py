"""What the demonstration observes besides its programs."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from lentilroad.demo.const import OPERATOR_KEY
from lentilroad.demo.layout import Instance, Layout

SAMPLE_INTERVAL_S = 0.25


@dataclass(slots=True, kw_only=True)
class VersionObservation:
    """Configuration versions that one process reported, in order."""

    process: str
    versions: list[int] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class Evidence:
    """Everything that the promises are judged by."""

    # Executions at the engine of the drained sidecar: 3 s after, and at the end.
    drained_executions: tuple[int, int] | None = None
    planned_exit_codes: list[int | None] = field(default_factory=list)
    planned_urls: list[str] = field(default_factory=list)
    versions: dict[str, VersionObservation] = field(default_factory=dict)
    wanted_version: int = 0
    in_force_s: float | None = None
    # Token-seconds that engines held for programs that had ended.
    held_token_seconds: float = 0.0
    prefilled_tokens: int = 0
    cross_region_bytes: int = 0
    key_value_calls: int = 0


async def read_json(session: aiohttp.ClientSession, url: str) -> Any | None:
    """Return a JSON document, or None when the process does not answer."""
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    try:
        async with session.get(url, headers=headers) as response:
            if response.status != 200:
                return None
            return await response.json()
    except (aiohttp.ClientError, TimeoutError):
        return None


async def engine_states(
    session: aiohttp.ClientSession, layout: Layout
) -> dict[str, dict[str, Any]]:
    """Return the state of every stand-in engine by name."""
    engines = [one for one in layout.upstreams if one.kind == "engine"]
    states = await asyncio.gather(
        *(read_json(session, f"{one.upstream_url}/admin/state") for one in engines)
    )
    return {
        one.name: state
        for one, state in zip(engines, states, strict=True)
        if state is not None
    }


async def service_references(
    session: aiohttp.ClientSession, layout: Layout
) -> Counter[str]:
    """Return how often each reference took effect at any stand-in service."""
    services = [one for one in layout.upstreams if one.kind == "service"]
    ledgers = await asyncio.gather(
        *(read_json(session, f"{one.upstream_url}/admin/ledger") for one in services)
    )
    counts: Counter[str] = Counter()
    for ledger in ledgers:
        for item in (ledger or {"ledger": []})["ledger"]:
            counts[item["payload"]["reference"]] += 1
    return counts


async def observe_versions(
    session: aiohttp.ClientSession, processes: list[Instance], evidence: Evidence
) -> None:
    """Add the versions that entries and sidecars report now."""
    await asyncio.gather(
        *(_observe_version(session, process, evidence) for process in processes)
    )


async def _observe_version(
    session: aiohttp.ClientSession, process: Instance, evidence: Evidence
) -> None:
    path = "/operator/v1/status" if process.kind == "entry" else "/status"
    status = await read_json(session, process.http_url + path)
    if status is None:
        return
    if process.kind == "entry":
        version = status["configuration"]["version"]
    else:
        version = status["report"].get("config_version", 0)
    observation = evidence.versions.setdefault(
        process.name, VersionObservation(process=process.name)
    )
    observation.versions.append(version)


async def sample_memory(
    session: aiohttp.ClientSession,
    layout: Layout,
    ended: set[str],
    evidence: Evidence,
) -> None:
    """Add up the tokens held for ended programs until cancelled."""
    while True:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        for state in (await engine_states(session, layout)).values():
            held = sum(
                tokens
                for program_id, tokens in state["programs"].items()
                if program_id in ended
            )
            evidence.held_token_seconds += held * SAMPLE_INTERVAL_S
