"""HTTP client of an engine that speaks the chat completions protocol."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, TypeVar

import aiohttp
import msgspec

from lentilroad.adapters.const import (
    CONNECT_TIMEOUT_S,
    CONTROL_TIMEOUT_S,
    MAX_ERROR_TEXT_BYTES,
    PROGRAM_ID_HEADER,
    REQUEST_ID_HEADER,
)
from lentilroad.adapters.engine import (
    CacheEvents,
    EngineCommand,
    EngineLoad,
    EngineOutput,
    EngineRequest,
)
from lentilroad.adapters.sse import CompletionParser
from lentilroad.errors import (
    LentilroadError,
    NotFoundError,
    OverloadedError,
    StaleEpochError,
    UnavailableError,
    UpstreamError,
)
from lentilroad.wire.untrusted import DECODING_ERRORS

Reply = TypeVar("Reply")
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpEngine:
    """Client of one engine; implements `lentilroad.adapters.engine.Engine`.

    Parameters
    ----------
    base_url : str
        Address of the engine, for example ``http://127.0.0.1:8000``.
    session : aiohttp.ClientSession, optional
        Session to use. One is created on first use when omitted.
    """

    def __init__(
        self, *, base_url: str, session: aiohttp.ClientSession | None = None
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._session = session

    async def close(self) -> None:
        """Close the connections to the engine."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                auto_decompress=False,
            )
        return self._session

    def generate(self, request: EngineRequest) -> AsyncIterator[EngineOutput]:
        """Run a completion and yield its output."""
        body = {
            "model": request.model,
            "messages": request.messages,
            "max_tokens": request.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        if request.forced_prefix:
            body["forced_prefix"] = request.forced_prefix
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            PROGRAM_ID_HEADER: request.program_id,
            "Content-Type": "application/json",
        }
        if request.traceparent:
            headers["traceparent"] = request.traceparent
        return self._stream(
            "POST",
            "/v1/chat/completions",
            data=msgspec.json.encode(body),
            headers=headers,
        )

    def resume(self, *, request_id: str, offset: int) -> AsyncIterator[EngineOutput]:
        """Yield the output of a completion from character `offset` on."""
        return self._stream(
            "GET", f"/v1/streams/{request_id}", params={"offset": str(offset)}
        )

    async def _stream(
        self, method: str, path: str, **arguments: Any
    ) -> AsyncIterator[EngineOutput]:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        parser = CompletionParser()
        response_started = False
        try:
            async with self._get_session().request(
                method, self._base_url + path, timeout=timeout, **arguments
            ) as response:
                response_started = True
                if response.status != 200:
                    raise _error_from_status(response.status, await response.read())
                while not parser.finished:
                    data = await response.content.readany()
                    if not data:
                        break
                    output = parser.feed(data)
                    if output is not None:
                        yield output
        except _CONNECT_ERRORS as exception:
            raise _unavailable_error(exception, outcome="not_run") from exception
        except (aiohttp.ClientError, OSError, TimeoutError) as exception:
            raise _unavailable_error(
                exception, outcome="ran" if response_started else "unknown"
            ) from exception
        if not parser.finished:
            raise UnavailableError(
                "engine closed the stream before it was complete; resume it",
                outcome="ran",
            )

    async def cancel(self, *, request_id: str) -> None:
        """Stop a completion and free its resources."""
        await self._post("/v1/cancel", {"request_id": request_id})

    async def load(self) -> EngineLoad:
        """Return the last published load."""
        data = await self._request("GET", "/load")
        return _decode(data, EngineLoad)

    async def cache_events(self, *, after: int) -> CacheEvents:
        """Return cache events with a sequence number above `after`."""
        data = await self._request("GET", "/cache/events", params={"after": str(after)})
        return _decode(data, CacheEvents)

    async def release_program(self, *, program_id: str) -> None:
        """Free the cache entries of a program."""
        await self._post("/cache/release", {"program_id": program_id})

    async def export_cache(self, *, program_id: str) -> bytes:
        """Return the cache entries of a program in the engine's own format."""
        return await self._request(
            "GET", "/cache/export", params={"program_id": program_id}
        )

    async def import_cache(self, *, program_id: str, data: bytes) -> None:
        """Load exported cache entries."""
        await self._request(
            "POST", "/cache/import", params={"program_id": program_id}, data=data
        )

    async def command(self, command: EngineCommand) -> None:
        """Apply a command; raises `StaleEpochError` for an old fencing number."""
        await self._post("/commands", command)

    async def _post(self, path: str, body: Any) -> bytes:
        return await self._request("POST", path, data=msgspec.json.encode(body))

    async def _request(self, method: str, path: str, **arguments: Any) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=CONTROL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._get_session().request(
                method, self._base_url + path, timeout=timeout, **arguments
            ) as response:
                data = await response.read()
        except _CONNECT_ERRORS as exception:
            raise _unavailable_error(exception, outcome="not_run") from exception
        except (aiohttp.ClientError, OSError, TimeoutError) as exception:
            raise _unavailable_error(exception, outcome="unknown") from exception
        if response.status >= 300:
            raise _error_from_status(response.status, data)
        return data


def _unavailable_error(exception: BaseException, *, outcome: Any) -> UnavailableError:
    return UnavailableError(
        f"engine cannot be reached ({type(exception).__name__}); "
        "check its address and that it runs",
        outcome=outcome,
    )


def _error_from_status(status: int, data: bytes) -> LentilroadError:
    text = data[:MAX_ERROR_TEXT_BYTES].decode(errors="replace")
    if status == 404:
        return NotFoundError(f"engine did not find the requested resource: {text}")
    if status == 409:
        return StaleEpochError(f"engine has applied a higher fencing number: {text}")
    if status in (429, 503):
        return OverloadedError(
            f"engine refused the request ({status}): {text}; try again later",
            retry_after_ms=1000,
        )
    return UpstreamError(f"engine answered {status}: {text}; see its log")


def _decode(data: bytes, reply_type: type[Reply]) -> Reply:
    try:
        return msgspec.json.decode(data, type=reply_type)
    except DECODING_ERRORS as exception:
        raise UpstreamError(
            f"engine sent an invalid reply: {exception}; check the engine's release"
        ) from exception
