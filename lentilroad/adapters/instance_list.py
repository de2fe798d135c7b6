"""Client of the platform's list of live and leaving instances."""

from __future__ import annotations

import ssl
from typing import Literal, Protocol

import aiohttp
import msgspec

from lentilroad.adapters.const import INSTANCE_LIST_TIMEOUT_S
from lentilroad.errors import UnavailableError
from lentilroad.wire.untrusted import UnreadableError, decode_json, decode_json_items


class Instance(msgspec.Struct, kw_only=True):
    """One instance as the platform lists it.

    The list lags behind the platform. ``leaving`` is acted on at once; ``live`` does
    not prove that the instance still runs.
    """

    instance_id: str
    address: str
    region: str
    availability_zone: str
    state: Literal["live", "leaving"] = "live"


class InstanceListReply(msgspec.Struct, kw_only=True):
    """Answer of the platform: all instances at the time `time_s`."""

    time_s: float
    instances: list[Instance]


class InstanceList(Protocol):
    """Interface to the platform's instance list."""

    async def read(self) -> list[Instance]:
        """Return all listed instances; raises `UnavailableError`."""
        ...


def leaving_ids(instances: list[Instance]) -> list[str]:
    """Return the ids of the instances that are leaving."""
    return [i.instance_id for i in instances if i.state == "leaving"]


class HttpInstanceList:
    """`InstanceList` over ``GET <endpoint>/instances``.

    Parameters
    ----------
    endpoint : str
        Base address, "http://ip:port".
    timeout_s : float, optional
        Timeout of one call.
    ssl_context : ssl.SSLContext, optional
        Client context for an HTTPS endpoint.
    """

    def __init__(
        self,
        *,
        endpoint: str,
        timeout_s: float = INSTANCE_LIST_TIMEOUT_S,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._url = endpoint.rstrip("/") + "/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._ssl = ssl_context
        self._session: aiohttp.ClientSession | None = None

    async def read(self) -> list[Instance]:
        """Return all listed instances; raises `UnavailableError`."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            async with self._session.get(
                self._url, timeout=self._timeout, ssl=self._ssl or True
            ) as response:
                response.raise_for_status()
                data = await response.read()
            listed = decode_json(data, _ListedInstances).instances
            return decode_json_items(
                listed, Instance, event="listed_instance_unreadable"
            )
        except (aiohttp.ClientError, OSError, TimeoutError, UnreadableError) as e:
            raise UnavailableError(
                f"instance list did not answer ({type(e).__name__}: {e}); check its "
                "address in the settings",
                outcome="not_run",
            ) from e

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None


class _ListedInstances(msgspec.Struct):
    instances: list[msgspec.Raw]
