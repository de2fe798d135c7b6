"""Health and operator routes of an entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from lentilroad.errors import UnauthenticatedError
from lentilroad.request.responses import json_response
from lentilroad.version.http import (
    CheckOperatorKey,
    add_routes,
    operator_key_checker,
)

if TYPE_CHECKING:
    from lentilroad.process.entry import Entry

BEARER_PREFIX = "Bearer "


def require_operator(request: web.Request, check_key: CheckOperatorKey) -> None:
    """Check that a request has an operator's key.

    Raises
    ------
    UnauthenticatedError
        The key is missing or invalid.
    """
    header = request.headers.get("Authorization", "")
    if header.startswith(BEARER_PREFIX) and check_key(
        header.removeprefix(BEARER_PREFIX)
    ):
        return
    raise UnauthenticatedError("send 'Authorization: Bearer <operator key>'")


def add_operator_routes(application: web.Application, *, entry: Entry) -> None:
    """Add health and operator routes to an entry's application."""
    check_key = operator_key_checker(entry.settings.operator_key_sha256)

    async def healthz(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(request: web.Request) -> web.Response:
        if not entry.ready:
            return web.Response(status=503, text="not ready\n")
        return web.Response(text="ok\n")

    async def status(request: web.Request) -> web.Response:
        require_operator(request, check_key)
        return json_response(entry_status(entry))

    async def programs(request: web.Request) -> web.Response:
        require_operator(request, check_key)
        return json_response({"programs": entry.owner.list_programs()})

    async def drain(request: web.Request) -> web.Response:
        require_operator(request, check_key)
        entry.drain_task = asyncio.ensure_future(entry.drain())
        return json_response({"draining": entry.settings.address}, status=202)

    application.add_routes(
        [
            web.get("/healthz", healthz),
            web.get("/readyz", readyz),
            web.get("/operator/v1/status", status),
            web.get("/operator/v1/programs", programs),
            web.post("/operator/v1/drain", drain),
        ]
    )
    add_routes(
        application,
        entry.store,
        entry.distribution,
        check_key,
        reported_versions=entry.reported_versions,
    )


def entry_status(entry: Entry) -> dict[str, object]:
    """Return the state of one entry for ``lentilroad status``."""
    return {
        "address": entry.settings.address,
        "region": entry.settings.region,
        "availability_zone": entry.settings.availability_zone,
        "draining": entry.draining,
        "ready": entry.ready,
        "shards_owned": len(entry.shard_table.shards_owned()),
        "configuration": entry.distribution.status(),
        "entries": entry.members.peers(),
        "sidecars": entry.directory.records(),
        "sidecar_versions": entry.directory.config_versions(),
        "cross_region_bytes": entry.choice.cross_region_bytes,
        "key_value_calls": entry.key_value.counts,
    }
