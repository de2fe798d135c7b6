"""Stand-in for a service with bookings, holds and charges.

It supports the operations of the shipped examples and ``look_up``. Every execution is
recorded under the call id. The service does not deduplicate: it runs a repeated call
again, so that a test can count how often a call was sent.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
from aiohttp import web

from lentilroad.adapters.const import IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER
from lentilroad.adapters.service import ServiceReply
from lentilroad.clock import Clock
from lentilroad.errors import OutcomeUnknownError, OverloadedError, UnavailableError

EFFECTS = ("book", "hold", "charge", "cancel", "renew", "refund", "release")
LOOKUPS = ("look_up", "lookup", "quote", "receipt")
OPERATIONS = EFFECTS + LOOKUPS
_FAULTS = (
    "hanging",
    "hang_before_effect",
    "dead",
    "refusing",
    "slow_s",
    "lose_answers",
)
_HANG_POLL_S = 0.1


class LedgerEntry(msgspec.Struct, kw_only=True):
    """One execution of an operation that has an effect."""

    call_id: str
    operation: str
    payload: Any
    time_s: float


class ServiceStandIn:
    """Stand-in service; implements `lentilroad.adapters.service.Service`.

    Faults are attributes: `hanging` withholds replies after the effect,
    `hang_before_effect` hangs before the effect, `slow_s` delays the effect,
    `lose_answers` is the number of next calls whose connection breaks after the
    effect, `refusing` refuses calls before any effect, `dead` refuses connections.

    Parameters
    ----------
    clock : Clock
        Source of time.
    duration_s : float, optional
        Duration of one operation in seconds.
    """

    def __init__(self, *, clock: Clock, duration_s: float = 0.02) -> None:
        self._clock = clock
        self.duration_s = duration_s
        self.ledger: list[LedgerEntry] = []
        self.executions: Counter[str] = Counter()
        self.running = 0
        self.hanging = False
        self.hang_before_effect = False
        self.dead = False
        self.refusing = False
        self.slow_s = 0.0
        self.lose_answers = 0

    async def call(
        self, *, operation: str, payload: bytes, call_id: str, traceparent: str = ""
    ) -> ServiceReply:
        """Run an operation."""
        if self.dead:
            raise UnavailableError("service is down; use another instance")
        if self.refusing:
            raise OverloadedError(
                "service is overloaded; retry later", retry_after_ms=1000
            )
        self.running += 1
        try:
            return await self._run(operation, payload, call_id)
        finally:
            self.running -= 1

    async def _run(self, operation: str, payload: bytes, call_id: str) -> ServiceReply:
        if operation not in OPERATIONS:
            return _reply(404, {"error": f"unknown operation {operation}"})
        try:
            content = msgspec.json.decode(payload or b"{}")
        except msgspec.MsgspecError as error:
            return _reply(400, {"error": str(error)})
        await self._clock.sleep(self.duration_s + self.slow_s)
        while self.hang_before_effect:
            await self._clock.sleep(_HANG_POLL_S)
        number = self._execute(operation, content, call_id)
        while self.hanging:
            await self._clock.sleep(_HANG_POLL_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknownError(
                "reply was lost; look up whether the operation ran"
            )
        return _reply(
            200,
            {
                "operation": operation,
                "number": number,
                "call_id": call_id,
                "payload": content,
            },
        )

    def _execute(self, operation: str, content: Any, call_id: str) -> int:
        self.executions[call_id] += 1
        if operation in EFFECTS:
            self.ledger.append(
                LedgerEntry(
                    call_id=call_id,
                    operation=operation,
                    payload=content,
                    time_s=self._clock.time_s(),
                )
            )
        return len(self.ledger)


def _reply(status: int, body: Any) -> ServiceReply:
    return ServiceReply(status=status, payload=msgspec.json.encode(body))


def build_application(*, service: ServiceStandIn) -> web.Application:
    """Build the HTTP application of a stand-in service."""

    async def call(request: web.Request) -> web.Response:
        try:
            reply = await service.call(
                operation=request.match_info["operation"],
                payload=await request.read(),
                call_id=request.headers.get(IDEMPOTENCY_KEY_HEADER, ""),
            )
        except OverloadedError as error:
            return web.Response(
                status=503, text=error.message, headers={OUTCOME_HEADER: "not_run"}
            )
        except (UnavailableError, OutcomeUnknownError) as error:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=502, text=error.message)
        return web.Response(
            status=reply.status, body=reply.payload, content_type="application/json"
        )

    async def set_faults(request: web.Request) -> web.Response:
        requested = msgspec.json.decode(await request.read(), type=dict[str, Any])
        unknown = set(requested) - set(_FAULTS)
        if unknown:
            return web.Response(status=400, text=f"unknown faults: {sorted(unknown)}")
        for name, value in requested.items():
            setattr(service, name, value)
        return web.Response(body=b"{}", content_type="application/json")

    async def read_ledger(request: web.Request) -> web.Response:
        body = {"ledger": service.ledger, "executions": service.executions}
        return web.Response(
            body=msgspec.json.encode(body), content_type="application/json"
        )

    application = web.Application()
    application.add_routes(
        [
            web.post("/admin/faults", set_faults),
            web.get("/admin/ledger", read_ledger),
            web.post("/{operation}", call),
        ]
    )
    return application
