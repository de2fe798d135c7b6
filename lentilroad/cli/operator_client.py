"""Client of an entry's operator HTTP API for the command line."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import aiohttp

from lentilroad.errors import (
    ConfigurationError,
    LentilroadError,
    UnavailableError,
    UpstreamError,
    error_class,
)

URL_VARIABLE = "LENTILROAD_URL"
KEY_VARIABLE = "LENTILROAD_OPERATOR_KEY"
REQUEST_TIMEOUT_S = 60.0
MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.5


class OperatorApiError(LentilroadError):
    """Error in an entry's answer; `details` is its JSON object."""

    def __init__(self, details: Mapping[str, Any]) -> None:
        super().__init__(
            str(details.get("message", "the entry sent no error message")),
            outcome=details.get("outcome", "unknown"),
        )
        self.details = dict(details)

    @property
    def error_type(self) -> type[LentilroadError]:
        """Error class that the entry's error code stands for."""
        return error_class(str(self.details.get("code", "")))


class OperatorClient:
    """Client that sends requests to one entry.

    Parameters
    ----------
    url : str
        Base URL of the entry, such as ``http://127.0.0.1:8080``.
    key : str
        Operator key.
    """

    __slots__ = ("_key", "_url")

    def __init__(self, *, url: str, key: str) -> None:
        self._url = url.rstrip("/")
        self._key = key

    def __repr__(self) -> str:
        return f"OperatorClient(url={self._url!r})"

    async def request(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
    ) -> Any:
        """Send a request that is safe to repeat and return its JSON answer.

        Raises
        ------
        OperatorApiError
            The entry answered with an error.
        UnavailableError
            The entry did not answer; with the outcome ``unknown`` a change may have
            taken effect.
        """
        last_error = ""
        may_have_taken_effect = False
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_S)
            try:
                return await self._request(method, path, query, body)
            except aiohttp.ClientConnectorError as error:
                last_error = str(error)
            except (aiohttp.ClientError, TimeoutError) as error:
                last_error = str(error) or type(error).__name__
                may_have_taken_effect = body is not None
        raise UnavailableError(
            f"no answer from {self._url}: {last_error}; "
            "check --url and that the entry runs",
            outcome="unknown" if may_have_taken_effect else "not_run",
        )

    async def _request(
        self,
        method: str,
        path: str,
        query: Mapping[str, str | int] | None,
        body: Any,
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        headers = {"Authorization": f"Bearer {self._key}"}
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, self._url + path, params=query, json=body, headers=headers
            ) as response,
        ):
            try:
                answer = await response.json(content_type=None)
            except ValueError as error:
                raise UpstreamError(
                    f"{self._url} answered {response.status} without JSON; check "
                    "that --url is the HTTP address of an entry"
                ) from error
            if response.status >= 400:
                raise OperatorApiError(answer.get("error", {}))
            return answer


def build_operator_client(arguments: Mapping[str, Any]) -> OperatorClient:
    """Build a client from ``--url`` and ``--key-file`` or the environment."""
    url = arguments.get("--url") or os.environ.get(URL_VARIABLE)
    if not url:
        raise ConfigurationError(f"no entry address; use --url or set {URL_VARIABLE}")
    key_file = arguments.get("--key-file")
    if key_file:
        try:
            key = Path(key_file).read_text(encoding="utf-8").strip()
        except OSError as error:
            raise ConfigurationError(
                f"cannot read {key_file}: {error.strerror}; correct --key-file"
            ) from error
    else:
        key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise ConfigurationError(
            f"no operator key; use --key-file or set {KEY_VARIABLE}"
        )
    return OperatorClient(url=url, key=key)
