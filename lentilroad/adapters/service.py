"""HTTP client of an upstream service, such as bookings or charges."""

from __future__ import annotations

from typing import Protocol

import aiohttp
import msgspec

from lentilroad.adapters.const import (
    CONNECT_TIMEOUT_S,
    IDEMPOTENCY_KEY_HEADER,
    OUTCOME_HEADER,
)
from lentilroad.errors import OutcomeUnknownError, OverloadedError, UnavailableError

# Highest status of an answer in HTTP.
MAX_STATUS = 599

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class ServiceReply(msgspec.Struct, kw_only=True):
    """Answer of a service; error statuses are returned, not raised."""

    status: int
    payload: bytes


class Service(Protocol):
    """Interface that lentilroad requires of a service."""

    async def call(
        self, *, operation: str, payload: bytes, call_id: str, traceparent: str = ""
    ) -> ServiceReply:
        """Run an operation once.

        Raises `UnavailableError` or `OverloadedError` (outcome ``not_run``) when the
        operation certainly did not run, `OutcomeUnknownError` when it may have run.
        """
        ...


class HttpService:
    """Client of one service: ``POST /<operation>`` with JSON in and out.

    Every request uses a new connection. When the service closes a kept-alive
    connection, the client cannot tell whether the operation ran, so the outcome
    would be unknown.

    Parameters
    ----------
    base_url : str
        Address of the service.
    """

    def __init__(self, *, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections to the service."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        return self._session

    async def call(
        self, *, operation: str, payload: bytes, call_id: str, traceparent: str = ""
    ) -> ServiceReply:
        """Run an operation once; see `Service.call`."""
        headers = {
            IDEMPOTENCY_KEY_HEADER: call_id,
            "Content-Type": "application/json",
        }
        if traceparent:
            headers["traceparent"] = traceparent
        try:
            async with self._get_session().post(
                f"{self._base_url}/{operation}",
                data=payload or b"{}",
                headers=headers,
                allow_redirects=False,
            ) as response:
                data = await response.read()
        except _CONNECT_ERRORS as exception:
            raise UnavailableError(
                "service cannot be reached; check its address and that it runs",
                retry_after_ms=1000,
            ) from exception
        except (aiohttp.ClientError, OSError, TimeoutError) as exception:
            raise OutcomeUnknownError(
                f"connection to the service was lost ({type(exception).__name__}); "
                "look the operation up at the service before repeating it"
            ) from exception
        if response.headers.get(OUTCOME_HEADER) == "not_run":
            raise OverloadedError(
                f"service refused the operation ({response.status}); try again later",
                retry_after_ms=1000,
            )
        if not 200 <= response.status <= MAX_STATUS:
            raise OutcomeUnknownError(
                f"service answered with status {response.status}; look the operation "
                "up at the service before repeating it"
            )
        return ServiceReply(status=response.status, payload=data)
