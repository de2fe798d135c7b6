"""Distribution of the operators' configuration between processes."""

from __future__ import annotations

import asyncio
import random as random_module
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import eliot

from lentilroad.adapters.key_value import KeyValueStore
from lentilroad.clock import Clock
from lentilroad.errors import ConfigurationError
from lentilroad.version import const
from lentilroad.version.disk import ConfigurationDisk
from lentilroad.version.fetch import PartSource, fetch_parts
from lentilroad.version.gossip import Addresses, Call, VersionGossip
from lentilroad.version.model import (
    Configuration,
    ConfigurationVersion,
    DistributionStatus,
    Head,
)
from lentilroad.version.parts import decode_head, join_configuration
from lentilroad.version.records import AppliedChange
from lentilroad.version.wanted import PendingHead
from lentilroad.version.watch import watch_head
from lentilroad.wire.messages import (
    ConfigDigestReply,
    ConfigDigestRequest,
    PullPartsReply,
    PullPartsRequest,
)
from lentilroad.wire.services import CONFIG_DIGEST, PULL_PARTS, Method

Build = Callable[[Head, Sequence[bytes]], Configuration]


def _build(head: Head, parts: Sequence[bytes]) -> Configuration:
    return join_configuration(parts)


async def _in_thread(function: Callable[[], None]) -> None:
    await asyncio.to_thread(function)


class ConfigurationDistributor:
    """Keeps the newest configuration version in force in this process.

    Every process has one distributor. It receives the head of a version from a
    peer's push or digest, after a peer's heartbeat or, as a watcher, from the
    key-value service. It then pulls the missing parts, puts the version in force and
    pushes the head to a few peers. It never puts a lower version in force.

    Parameters
    ----------
    call : Callable
        ``await call(address, method, request, timeout_s=...)``.
    clock : Clock
        Time source.
    random : random.Random
        Random source for the choice of peers and for jitter.
    peers : Callable
        Returns the addresses of entries in this region; for a sidecar, of its home
        entries.
    address : str
        Own address, from which peers pull parts; empty if this process serves none.
    remote_region_peers : Callable, optional
        Returns the addresses of entries in other regions.
    data_folder : pathlib.Path, optional
        Folder that stores the version in force across restarts.
    key_value : KeyValueStore, optional
        Key-value service of the platform; set for entries only.
    is_watcher : Callable, optional
        Returns whether this process currently watches the key-value service; see
        `lentilroad.version.watch.is_watcher`.
    push_count : int
        Number of peers that receive a push of each new version.
    digest_interval_s : float
        Mean time between digests to a random peer, in seconds.
    build : Callable
        Builds the typed configuration from the parts of a head.
    run_blocking : Callable
        Runs a function that blocks on disk writes.
    """

    def __init__(
        self,
        *,
        call: Call,
        clock: Clock,
        random: random_module.Random,
        peers: Addresses,
        address: str = "",
        remote_region_peers: Addresses = tuple,
        data_folder: Path | None = None,
        key_value: KeyValueStore | None = None,
        is_watcher: Callable[[], bool] = lambda: False,
        push_count: int = const.PUSH_COUNT,
        digest_interval_s: float = const.DIGEST_INTERVAL_S,
        build: Build = _build,
        run_blocking: Callable[[Callable[[], None]], Awaitable[None]] = _in_thread,
    ) -> None:
        self._call = call
        self._gossip = VersionGossip(
            call=call,
            random=random,
            peers=peers,
            remote_region_peers=remote_region_peers,
            address=address,
            in_force=lambda: (self.version, self._current_value),
            on_head=self._receive_head,
        )
        self._clock = clock
        self._random = random
        self._key_value = key_value
        self._is_watcher = is_watcher
        self._push_count = push_count
        self._digest_interval_s = digest_interval_s
        self._build = build
        self._run_blocking = run_blocking
        self._disk = ConfigurationDisk(folder=data_folder) if data_folder else None
        self._current: ConfigurationVersion | None = None
        self._current_value = b""
        # Read before any peer can send the head of a lower version.
        self._pending = PendingHead(
            highest=self._disk.read_highest() if self._disk else 0
        )
        self._in_force_time_s = 0.0
        # Parts of the version in force and of its predecessor, for late peers.
        self._retained_parts: list[dict[str, bytes]] = []
        self._pending_parts: dict[str, bytes] = {}
        self._last_error = ""
        self._head_pending = asyncio.Event()
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[ConfigurationVersion], None]] = []

    @property
    def current(self) -> ConfigurationVersion | None:
        """Version in force; a request uses the object it started with to its end."""
        return self._current

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first version."""
        return self._current.version if self._current else 0

    def handlers(self) -> dict[Method, Callable[[Any], Awaitable[Any]]]:
        """Return the handlers for this process's `MethodTable`."""
        return {CONFIG_DIGEST: self.config_digest, PULL_PARTS: self.pull_parts}

    def on_change(self, listener: Callable[[ConfigurationVersion], None]) -> None:
        """Call `listener` with each version that is put in force."""
        self._listeners.append(listener)

    def status(self) -> DistributionStatus:
        """Return the status that this process reports."""
        head = self._current.head if self._current else None
        return DistributionStatus(
            version=self.version,
            wanted_version=self._pending.version,
            highest_version=self._pending.highest,
            write_id=head.write_id if head else "",
            author=head.author if head else "",
            applied_time_s=head.time_s if head else 0.0,
            in_force_time_s=self._in_force_time_s,
            watcher=self._is_watcher(),
            last_error=self._last_error,
        )

    async def wait_for_version(self, version: int) -> ConfigurationVersion:
        """Wait until `version` or a higher one is in force and return it."""
        while self._current is None or self._current.version < version:
            await self._changed.wait()
        return self._current

    async def config_digest(self, request: ConfigDigestRequest) -> ConfigDigestReply:
        """Handle CONFIG_DIGEST: record the peer's version and return a newer head."""
        if request.head:
            self._receive_head(request.head, request.sender)
        elif request.sender:
            self.handle_peer_version(request.sender, request.version)
        newer = self._current is not None and self.version > request.version
        return ConfigDigestReply(
            version=self.version, head=self._current_value if newer else b""
        )

    async def pull_parts(self, request: PullPartsRequest) -> PullPartsReply:
        """Handle PULL_PARTS: return the parts that this process stores."""
        found = {}
        for digest in request.digests:
            value = self.local_part(digest)
            if value is not None:
                found[digest] = value
        return PullPartsReply(parts=found)

    def handle_peer_version(self, address: str, version: int) -> None:
        """Request a peer's head if it reports a version above the highest known."""
        if version > self._pending.version:
            self._gossip.request_head(address)

    async def distribute(self, applied: AppliedChange) -> None:
        """Distribute a change that this process's store accepted."""
        if applied.head.version > self.version:
            self._pending_parts = dict(applied.parts)
            self._receive_head(applied.head_value, "")

    async def load(self) -> None:
        """Put the version saved in the data folder in force, if there is one."""
        if self._disk is None:
            return
        saved = self._disk.read()
        if saved is None:
            return
        value, parts = saved
        try:
            head = decode_head(value)
            ordered = {digest: parts[digest] for digest in head.parts}
            configuration = self._build(head, list(ordered.values()))
        except (ConfigurationError, KeyError) as error:
            self._record_error(
                f"cannot use the configuration in the data folder: {error}"
            )
            return
        if head.version >= self._pending.highest:
            self._put_in_force(head, value, ordered, configuration)

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self.load()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._cold_start_and_pull())
                group.create_task(self._digest_loop())
                if self._key_value is not None:
                    group.create_task(self._watch_loop(self._key_value))
        finally:
            self._gossip.close()

    async def _cold_start_and_pull(self) -> None:
        await self._cold_start()
        await self._pull_loop()

    async def _cold_start(self) -> None:
        """Request the heads of many peers, to start from the highest version.

        Continues with further peers until a head is received, because most peers may
        be unreachable.
        """
        peers = self._gossip.all_peers() * const.COLD_START_PASSES
        for first in range(0, len(peers), const.COLD_START_PEERS):
            requests = self._gossip.request_heads(
                peers[first : first + const.COLD_START_PEERS]
            )
            wait_s = (
                const.COLD_START_ROUND_S if first else const.COLD_START_FIRST_ROUND_S
            )
            await asyncio.wait(requests, timeout=wait_s)
            if self._current is not None or self._pending.head is not None:
                return

    async def _digest_loop(self) -> None:
        cold_interval_s = const.COLD_START_DIGEST_INTERVAL_S
        while True:
            mean_s = self._digest_interval_s
            if self._current is None:
                mean_s = min(cold_interval_s, mean_s)
                # Back off, because the deployment may have no version yet.
                cold_interval_s *= 1.5
            await self._clock.sleep(mean_s * self._random.uniform(0.5, 1.5))
            self._gossip.request_heads(
                self._gossip.choose_peers(1 if self._current else 3)
            )

    async def _watch_loop(self, key_value: KeyValueStore) -> None:
        await watch_head(
            key_value=key_value,
            clock=self._clock,
            random=self._random,
            is_watcher=self._is_watcher,
            on_head=lambda value: self._receive_head(value, const.KEY_VALUE_SOURCE),
            on_error=self._record_error,
        )

    def _receive_head(self, value: bytes, source: str) -> None:
        """Record a received head; the pull loop fetches its parts if it is newer."""
        try:
            head = decode_head(value)
        except ConfigurationError as error:
            self._record_error(f"head from {source or 'a peer'}: {error}")
            return
        problem = self._pending.observe(head, value, source)
        if problem:
            self._record_error(problem)
        if self._pending.head is not None:
            self._head_pending.set()

    async def _pull_loop(self) -> None:
        attempt = 0
        while True:
            await self._head_pending.wait()
            head = self._pending.head
            if head is None:
                self._head_pending.clear()
                attempt = 0
                continue
            if await self._pull(head, self._pending.value, attempt):
                attempt = 0
                continue
            delay_s = min(
                const.RETRY_BACKOFF_MAX_S, const.RETRY_BACKOFF_MIN_S * 2**attempt
            )
            attempt = min(attempt + 1, const.RETRY_BACKOFF_DOUBLINGS)
            await self._clock.sleep(delay_s * self._random.uniform(0.5, 1.0))

    async def _pull(self, head: Head, value: bytes, attempt: int) -> bool:
        """Fetch a version and put it in force; return False to try again."""
        local_parts = {digest: self.local_part(digest) for digest in head.parts}
        parts = {
            digest: part for digest, part in local_parts.items() if part is not None
        }
        missing = [digest for digest in local_parts if digest not in parts]
        if missing:
            parts.update(await fetch_parts(missing, self._part_source(attempt)))
        # Received parts are retained, so that the next attempt pulls only the rest.
        self._pending_parts.update(parts)
        if len(parts) < len(local_parts):
            return False
        ordered = {digest: parts[digest] for digest in head.parts}
        try:
            configuration = self._build(head, list(ordered.values()))
        except ConfigurationError as error:
            self._pending.reject(head)
            self._record_error(f"version {head.version}: {error}")
            return True
        await self._save(head, value, ordered)
        self._put_in_force(head, value, ordered, configuration)
        self._gossip.push(self._push_count)
        return True

    def _part_source(self, attempt: int) -> PartSource:
        addresses = self._pending.peer_sources(attempt)
        if not addresses and not self._pending.sources:
            addresses = self._gossip.choose_peers(const.PULL_PEERS)
        elif attempt:
            addresses += self._gossip.choose_peers(1)
        return PartSource(
            call=self._call,
            addresses=addresses,
            clock=self._clock,
            key_value=self._key_value if self._is_watcher() else None,
            timeout_s=min(const.CALL_TIMEOUT_MAX_S, const.CALL_TIMEOUT_S * 2**attempt),
        )

    def local_part(self, digest: str) -> bytes | None:
        """Return a part that this process stores, or None."""
        for parts in (self._pending_parts, *self._retained_parts):
            if digest in parts:
                return parts[digest]
        return None

    async def _save(self, head: Head, value: bytes, parts: dict[str, bytes]) -> None:
        if self._disk is None:
            return
        disk = self._disk
        try:
            await self._run_blocking(
                lambda: disk.write(version=head.version, head=value, parts=parts)
            )
        except OSError as error:
            # The version is still put in force, but it will not survive a restart.
            self._record_error(f"cannot write to the data folder: {error}")

    def _put_in_force(
        self,
        head: Head,
        value: bytes,
        parts: dict[str, bytes],
        configuration: Configuration,
    ) -> None:
        self._current = ConfigurationVersion(head=head, configuration=configuration)
        self._current_value = value
        self._pending.put_in_force(head)
        self._in_force_time_s = self._clock.time_s()
        self._retained_parts = [parts, *self._retained_parts][
            : const.RETAINED_PART_VERSIONS
        ]
        if self._pending.head is None:
            self._pending_parts = {}
        self._last_error = ""
        eliot.log_message(
            message_type="version:in_force",
            version=head.version,
            author=head.author,
            write_id=head.write_id,
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for listener in self._listeners:
            try:
                listener(self._current)
            except Exception:
                # An exception in a listener must not stop the distribution.
                eliot.write_traceback()

    def _record_error(self, text: str) -> None:
        if text != self._last_error:
            eliot.log_message(message_type="version:problem", reason=text)
        self._last_error = text
