"""Stand-in for the platform's instance list, with a configurable lag."""

from __future__ import annotations

import msgspec
from aiohttp import web

from lentilroad.adapters.instance_list import Instance, InstanceListReply
from lentilroad.clock import Clock, SystemClock


class InstanceListStandIn:
    """Instance list whose changes become visible after a lag.

    Parameters
    ----------
    clock : Clock, optional
        Source of time.
    lag_s : float, optional
        Seconds until a change is visible in the list.

    Attributes
    ----------
    down : bool
        Whether every call is refused with status 503.
    """

    def __init__(self, *, clock: Clock | None = None, lag_s: float = 0.0) -> None:
        self.down = False
        self.lag_s = lag_s
        self._clock = clock or SystemClock()
        # Changes in order of time; None removes the instance.
        self._changes: list[tuple[float, str, Instance | None]] = []

    def put(self, instance: Instance) -> None:
        """Add or replace an instance."""
        now_s = self._clock.monotonic_s()
        self._changes.append((now_s, instance.instance_id, instance))

    def remove(self, instance_id: str) -> None:
        """Remove an instance."""
        self._changes.append((self._clock.monotonic_s(), instance_id, None))

    def visible_instances(self) -> list[Instance]:
        """Return the list as it was `lag_s` ago."""
        until_s = self._clock.monotonic_s() - self.lag_s
        instances: dict[str, Instance] = {}
        for time_s, instance_id, instance in self._changes:
            if time_s > until_s:
                break
            if instance is None:
                instances.pop(instance_id, None)
            else:
                instances[instance_id] = instance
        return list(instances.values())

    def build_application(self) -> web.Application:
        """Build the HTTP application of the list and the ``/admin`` endpoints."""
        application = web.Application()
        application.add_routes(
            [
                web.get("/instances", self._read),
                web.put("/admin/instances", self._put),
                web.delete("/admin/instances/{instance_id}", self._remove),
                web.post("/admin/faults", self._set_faults),
            ]
        )
        return application

    async def _read(self, request: web.Request) -> web.Response:
        if self.down:
            return web.Response(status=503)
        reply = InstanceListReply(
            time_s=self._clock.time_s() - self.lag_s, instances=self.visible_instances()
        )
        return web.Response(
            body=msgspec.json.encode(reply), content_type="application/json"
        )

    async def _put(self, request: web.Request) -> web.Response:
        self.put(msgspec.json.decode(await request.read(), type=Instance))
        return web.json_response({})

    async def _remove(self, request: web.Request) -> web.Response:
        self.remove(request.match_info["instance_id"])
        return web.json_response({})

    async def _set_faults(self, request: web.Request) -> web.Response:
        faults = await request.json()
        self.down = bool(faults.get("down", self.down))
        self.lag_s = float(faults.get("lag_s", self.lag_s))
        return web.json_response({})


def build_application(state: InstanceListStandIn | None = None) -> web.Application:
    """Build the HTTP application; `state` defaults to a new instance list."""
    return (state or InstanceListStandIn()).build_application()
