"""Connect the routing policy to the sidecar directory and the owner."""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from itertools import count
from typing import Any

from lentilroad.clock import Clock
from lentilroad.errors import OverloadedError
from lentilroad.membership.sidecars import SidecarDirectory
from lentilroad.request.router import Router
from lentilroad.request.routing import CallShape
from lentilroad.wire.messages import LoadReport, SidecarRecord
from lentilroad.wire.services import DISPATCH, Method

# The directory is read this often for each name; calls in between use own counts.
REFRESH_INTERVAL_S = 0.1
NO_UPSTREAM_RETRY_AFTER_MS = 500


Stream = Callable[[str, Method, Any, float | None], AsyncGenerator[Any, None]]


def record_load_reports(
    stream: Stream, record_load: Callable[[str, LoadReport], None]
) -> Stream:
    """Return a stream function that keeps the load reports of dispatched calls.

    Parameters
    ----------
    stream : callable
        Opens a stream to a sidecar.
    record_load : callable
        Receives the sidecar's address and its load.
    """

    async def noting(
        address: str, method: Method, request: Any, timeout_s: float | None
    ) -> AsyncGenerator[Any, None]:
        async with aclosing(stream(address, method, request, timeout_s)) as replies:
            async for reply in replies:
                if method is DISPATCH:
                    load = getattr(reply.event, "load", None)
                    if load is not None:
                        record_load(address, load)
                yield reply

    return noting


class UpstreamSelector:
    """Choose upstreams with what the directory and the owner know.

    Parameters
    ----------
    router : Router
        Scheduling policy with its own counts.
    directory : SidecarDirectory
        Sidecars and their load.
    regions : callable
        Names of all regions.
    region, availability_zone : str
        Place of this entry.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_availability_zone",
        "_clock",
        "_directory",
        "_in_flight",
        "_numbers",
        "_refreshed_s",
        "_region",
        "_regions",
        "_router",
        "_seen",
        "cross_region_bytes",
    )

    def __init__(
        self,
        *,
        router: Router,
        directory: SidecarDirectory,
        regions: Callable[[], list[str]],
        region: str,
        availability_zone: str,
        clock: Clock,
    ) -> None:
        self._router = router
        self._directory = directory
        self._regions = regions
        self._region = region
        self._availability_zone = availability_zone
        self._clock = clock
        self._refreshed_s: dict[str, float] = {}
        self._seen: dict[str, set[str]] = {}
        self._in_flight: dict[str, deque[str]] = {}
        self._numbers = count()
        self.cross_region_bytes = 0

    def choose(
        self,
        *,
        program_id: str,
        kind: str,
        name: str,
        prompt_tokens: int,
        excluded: frozenset[str],
        prefix_sidecars: tuple[str, ...],
        caller_id: str,
    ) -> SidecarRecord:
        """Return the sidecar that a call goes to.

        Raises
        ------
        OverloadedError
            No sidecar serves the name; the call did not run.
        """
        self._refresh(name)
        for address in prefix_sidecars:
            self._router.prefixes.record(
                program_id, address=address, tokens=prompt_tokens
            )
        choice = self._router.choose(
            name=name,
            call=CallShape(
                caller_id=caller_id,
                region=self._region,
                availability_zone=self._availability_zone,
                prompt_tokens=prompt_tokens,
            ),
            prefix_keys=(program_id,) if kind == "chat" else (),
            excluded=excluded,
        )
        if choice is None:
            raise OverloadedError(
                f"no upstream takes calls for {name!r} now; try again later",
                retry_after_ms=NO_UPSTREAM_RETRY_AFTER_MS,
            )
        self.cross_region_bytes += choice.billed_bytes
        return choice.record

    def adjust_in_flight(self, address: str, change: int) -> None:
        """Count a call that begins (+1) or ends (-1) at a sidecar."""
        calls = self._in_flight.setdefault(address, deque())
        if change > 0:
            call_id = str(next(self._numbers))
            calls.append(call_id)
            self._router.started(address, call_id=call_id)
            return
        if calls:
            self._router.finished(address, call_id=calls.popleft(), succeeded=None)

    def _refresh(self, name: str) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._refreshed_s.get(name, -1e9) < REFRESH_INTERVAL_S:
            return
        self._refreshed_s[name] = now_s
        found = set()
        for region in self._regions():
            for sidecar in self._directory.serving(name, region):
                found.add(sidecar.record.address)
                has_load = sidecar.load_age_s != float("inf")
                self._router.update(
                    sidecar.record,
                    sidecar.load if has_load else None,
                    age_s=sidecar.load_age_s if has_load else 0.0,
                )
        for address in self._seen.get(name, set()) - found:
            record = self._directory.record(address)
            if record is None or record.state == "dead":
                self._router.remove(address)
            else:
                self._router.update(record)
        self._seen[name] = found
