"""Stand-in for the rate-limited weight store."""

from __future__ import annotations

from aiohttp import web

from lentilroad.clock import Clock

_CHUNK_BYTES = 2**16


class WeightStoreStandIn:
    """Weights and the request rate limit of the store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    weights : dict[tuple[str, str], bytes]
        Content by model name and version.
    requests_per_s : float, optional
        Requests above this rate get status 429.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        weights: dict[tuple[str, str], bytes],
        requests_per_s: float = 10.0,
    ) -> None:
        self._clock = clock
        self.weights = weights
        self._interval_s = 1.0 / requests_per_s
        self._next_s = 0.0
        self.served_requests = 0
        self.limited_requests = 0
        # Byte counts after which the next downloads break, one per download.
        self.break_after_bytes: list[int] = []

    def retry_after_s(self) -> float:
        """Count a request; return 0 if it is admitted, else the time to wait."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_s:
            self.limited_requests += 1
            return self._next_s - now_s
        self._next_s = now_s + self._interval_s
        self.served_requests += 1
        return 0.0


def build_application(*, store: WeightStoreStandIn) -> web.Application:
    """Build the HTTP application of a stand-in weight store."""

    async def weights(request: web.Request) -> web.StreamResponse:
        key = (request.match_info["name"], request.match_info["version"])
        content = store.weights.get(key)
        if content is None:
            return web.Response(status=404)
        wait_s = store.retry_after_s()
        if wait_s:
            return web.Response(status=429, headers={"Retry-After": f"{wait_s:.3f}"})
        start = request.http_range.start or 0
        response = web.StreamResponse(status=206)
        response.content_length = len(content) - start
        await response.prepare(request)
        end = len(content)
        if store.break_after_bytes:
            end = min(end, start + store.break_after_bytes.pop(0))
        for index in range(start, end, _CHUNK_BYTES):
            await response.write(content[index : min(end, index + _CHUNK_BYTES)])
        if end < len(content) and request.transport is not None:
            request.transport.close()
        return response

    application = web.Application()
    application.add_routes([web.get("/weights/{name}/{version}", weights)])
    return application
