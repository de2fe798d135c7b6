"""HTTP client of the rate-limited weight store."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp

from lentilroad.adapters.const import (
    CONNECT_TIMEOUT_S,
    CONTROL_TIMEOUT_S,
    MAX_WEIGHT_STORE_ATTEMPTS,
)
from lentilroad.clock import Clock
from lentilroad.errors import NotFoundError, RateLimitedError, UnavailableError

_CHUNK_BYTES = 2**16


class ByteRateLimiter:
    """Token-bucket rate limiter for bytes read.

    Parameters
    ----------
    clock : Clock
        Source of time.
    bytes_per_s : float
        Average rate; the bytes of one second may be read without a wait.
    """

    def __init__(self, *, clock: Clock, bytes_per_s: float) -> None:
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._available_at_s = clock.monotonic_s() - 1.0

    async def acquire(self, size_bytes: int) -> None:
        """Wait until another `size_bytes` may be read."""
        now_s = self._clock.monotonic_s()
        self._available_at_s = (
            max(self._available_at_s, now_s - 1.0) + size_bytes / self._bytes_per_s
        )
        if self._available_at_s > now_s:
            await self._clock.sleep(self._available_at_s - now_s)


class HttpWeightStore:
    """Client of ``GET /weights/<name>/<version>``.

    Above its rate limit the store answers 429 with a ``Retry-After`` time. The client
    waits for that time and also limits its own rate, so that concurrent downloads do
    not starve each other.

    Parameters
    ----------
    base_url : str
        Address of the store.
    clock : Clock
        Source of time.
    bytes_per_s : float
        Rate limit of this client.
    """

    def __init__(self, *, base_url: str, clock: Clock, bytes_per_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._clock = clock
        self._rate_limiter = ByteRateLimiter(clock=clock, bytes_per_s=bytes_per_s)
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the store."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def fetch(self, *, name: str, version: str) -> AsyncIterator[bytes]:
        """Yield the weights in order.

        An interrupted download resumes at its offset. Raises `NotFoundError` for
        unknown weights, `RateLimitedError` when the last attempt was rate-limited,
        `UnavailableError` when the store was unreachable or the download broke in
        the last attempt.
        """
        offset = 0
        delay_s = 0.0
        for _ in range(MAX_WEIGHT_STORE_ATTEMPTS):
            await self._clock.sleep(delay_s)
            try:
                async for data in self._read(name, version, offset):
                    offset += len(data)
                    yield data
                return
            except RateLimitedError as error:
                failure: Exception = error
                delay_s = (error.retry_after_ms or 1000) / 1000
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                failure = error
                delay_s = 1.0
        if isinstance(failure, RateLimitedError):
            raise failure
        raise UnavailableError(
            f"weight store is unavailable ({type(failure).__name__}); check its address"
        ) from failure

    async def _read(self, name: str, version: str, offset: int) -> AsyncIterator[bytes]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(
                    total=None,
                    sock_connect=CONNECT_TIMEOUT_S,
                    sock_read=CONTROL_TIMEOUT_S,
                )
            )
        url = f"{self._base_url}/weights/{name}/{version}"
        async with self._session.get(
            url, headers={"Range": f"bytes={offset}-"}
        ) as response:
            if response.status == 404:
                raise NotFoundError(
                    f"weights {name} {version} do not exist; check name and version"
                )
            if response.status == 429:
                retry_after_s = float(response.headers.get("Retry-After", "1"))
                raise RateLimitedError(
                    "weight store is over its rate limit; retry later",
                    retry_after_ms=int(retry_after_s * 1000),
                )
            response.raise_for_status()
            async for data in response.content.iter_chunked(_CHUNK_BYTES):
                await self._rate_limiter.acquire(len(data))
                yield data
