"""Worker that states facts about itself in the headers of its responses."""

from __future__ import annotations

import asyncio

import aiohttp

from lentilroad.version.routes import Route, RouteKind
from tests.fakes.gateway import ATTEMPT_ID
from tests.fakes.raw_server import RawRequest, raw_response


class StatingWorker:
    """Worker that answers at once.

    Parameters
    ----------
    statements : str
        Headers of each response; underscores in names become hyphens.
    """

    def __init__(self, **statements: str) -> None:
        self.statements = statements
        self.status = "200 OK"
        self.received_s: list[float] = []

    async def answer(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        self.received_s.append(asyncio.get_running_loop().time())
        headers = {ATTEMPT_ID: request.headers[ATTEMPT_ID.lower()], **self.statements}
        if self.status.startswith("2"):
            headers["Lentilroad-Response-Seal"] = "s"
        writer.write(raw_response(b"ok", self.status, **headers))


def stating_route() -> Route:
    """Return the route of the requests that `send` sends."""
    return Route(
        name="r",
        host="h.example",
        prefix="/r/",
        kind=RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.2,
        attempts=2,
        services=(("svc", 1),),
    )


async def send(session: aiohttp.ClientSession, number: int) -> int:
    """Send one request through a gateway and return the status."""
    headers = {"Host": "h.example", ATTEMPT_ID: f"a{number}"}
    async with session.get("/r/x", headers=headers) as response:
        await response.read()
        return response.status
