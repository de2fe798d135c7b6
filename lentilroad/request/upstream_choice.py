"""Choice of upstreams for an owner, from the sidecar directory and the router."""

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

# Interval at which the directory is read for each name; between two reads, the
# owner's own counts of calls update the load.
REFRESH_INTERVAL_S = 0.1
NO_UPSTREAM_RETRY_AFTER_MS = 500


Stream = Callable[[str, Method, Any, float | None], AsyncGenerator[Any, None]]


def record_load_reports(
    stream: Stream, record_load: Callable[[str, LoadReport], None]
) -> Stream:
    """Wrap a stream function to record the load reports in replies to dispatches.

    Parameters
    ----------
    stream : callable
        Opens a stream to a sidecar.
    record_load : callable
        Called with the sidecar's address and its load report.

    Returns
    -------
    callable
        Function with the signature of `stream` that yields the same replies.
    """

    async def wrapper(
        address: str, method: Method, request: Any, timeout_s: float | None
    ) -> AsyncGenerator[Any, None]:
        async with aclosing(stream(address, method, request, timeout_s)) as replies:
            async for reply in replies:
                if method is DISPATCH:
                    load = getattr(reply.event, "load", None)
                    if load is not None:
                        record_load(address, load)
                yield reply

    return wrapper


class UpstreamSelector:
    """Selector that keeps a router up to date with the sidecar directory.

    Parameters
    ----------
    router : Router
        Routing policy and the counts of this owner's calls.
    directory : SidecarDirectory
        Sidecars and their load.
    regions : callable
        Returns the names of all regions.
    region, availability_zone : str
        Location of this entry.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_availability_zone",
        "_call_numbers",
        "_clock",
        "_directory",
        "_in_flight",
        "_refreshed_at_s",
        "_region",
        "_regions",
        "_router",
        "_serving_addresses",
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
        self._refreshed_at_s: dict[str, float] = {}
        self._serving_addresses: dict[str, set[str]] = {}
        self._in_flight: dict[str, deque[str]] = {}
        self._call_numbers = count()
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
        """Return the sidecar to which a call is sent.

        Parameters
        ----------
        program_id : str
            Program of the call, which is also its prefix key.
        kind : str
            Kind of the call; only calls of kind ``chat`` have a cached prefix.
        name : str
            Model or service.
        prompt_tokens : int
            Estimated tokens of the prompt.
        excluded : frozenset of str
            Addresses that are not chosen.
        prefix_sidecars : tuple of str
            Addresses of the sidecars that ran calls of the program, which are assumed
            to have the prompt cached.
        caller_id : str
            The authenticated caller.

        Raises
        ------
        OverloadedError
            No sidecar that serves the name can be chosen; the call did not run.
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
                f"no upstream accepts calls for {name!r}; retry after the given time",
                retry_after_ms=NO_UPSTREAM_RETRY_AFTER_MS,
            )
        self.cross_region_bytes += choice.billed_bytes
        return choice.record

    def adjust_in_flight(self, address: str, change: int) -> None:
        """Record the start (+1) or the end (-1) of a call at a sidecar."""
        calls = self._in_flight.setdefault(address, deque())
        if change > 0:
            call_id = str(next(self._call_numbers))
            calls.append(call_id)
            self._router.started(address, call_id=call_id)
            return
        if calls:
            self._router.finished(address, call_id=calls.popleft(), succeeded=None)

    def _refresh(self, name: str) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._refreshed_at_s.get(name, -1e9) < REFRESH_INTERVAL_S:
            return
        self._refreshed_at_s[name] = now_s
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
        # Sidecars that no longer serve the name may be draining, or removed.
        for address in self._serving_addresses.get(name, set()) - found:
            record = self._directory.record(address)
            if record is None or record.state == "dead":
                self._router.remove(address)
            else:
                self._router.update(record)
        self._serving_addresses[name] = found
