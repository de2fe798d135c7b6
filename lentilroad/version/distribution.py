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
    """The configuration version in force in this process.

    Every process uses this class. It learns of a version from a peer's push, from
    a digest, from a heartbeat or, as a watcher, from the key-value service; it
    pulls the missing parts, puts the version in force and tells a few peers. It
    never goes back to a lower version.

    Parameters
    ----------
    call : Callable
        ``await call(address, method, request, timeout_s=...)``.
    clock : Clock
        Time source.
    random : random.Random
        Source of peer choice and jitter.
    peers : Callable
        Returns the addresses of entries in this region; a sidecar's home entries.
    address : str
        Own address, from which peers pull parts. Empty when it serves none.
    remote_region_peers : Callable, optional
        Returns the addresses of entries in other regions.
    data_folder : pathlib.Path, optional
        Where the version in force is kept over restarts.
    key_value : KeyValueStore, optional
        The platform's service; given to entries only.
    is_watcher : Callable, optional
        Tells whether this process watches the service now; see `is_watcher`.
    push_count : int
        Peers that are told about a new version.
    digest_interval_s : float
        Mean time between digests to a random peer, in seconds.
    build : Callable
        Turns the parts of a head into the typed configuration.
    run_blocking : Callable
        Runs a function that writes to the disk.
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
            on_head=self._learn,
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
        # Read before any peer can offer a lower version.
        self._wanted = PendingHead(
            highest=self._disk.read_highest() if self._disk else 0
        )
        self._in_force_time_s = 0.0
        # Parts of the version in force and of the one before, for late peers.
        self._kept: list[dict[str, bytes]] = []
        self._offered: dict[str, bytes] = {}
        self._last_error = ""
        self._wake = asyncio.Event()
        self._changed = asyncio.Event()
        self._listeners: list[Callable[[ConfigurationVersion], None]] = []

    @property
    def current(self) -> ConfigurationVersion | None:
        """Version in force; a request keeps the object that it started with."""
        return self._current

    @property
    def version(self) -> int:
        """Number of the version in force, 0 before the first one."""
        return self._current.version if self._current else 0

    def handlers(self) -> dict[Method, Callable[[Any], Awaitable[Any]]]:
        """Return the handlers for this process's `MethodTable`."""
        return {CONFIG_DIGEST: self.config_digest, PULL_PARTS: self.pull_parts}

    def on_change(self, listener: Callable[[ConfigurationVersion], None]) -> None:
        """Call `listener` with each version that comes into force."""
        self._listeners.append(listener)

    def status(self) -> DistributionStatus:
        """Return what this process reports."""
        head = self._current.head if self._current else None
        return DistributionStatus(
            version=self.version,
            wanted_version=self._wanted.version,
            highest_version=self._wanted.highest,
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
        """Handle CONFIG_DIGEST: learn the peer's version or tell it ours."""
        if request.head:
            self._learn(request.head, request.sender)
        elif request.sender:
            self.handle_peer_version(request.sender, request.version)
        newer = self._current is not None and self.version > request.version
        return ConfigDigestReply(
            version=self.version, head=self._current_value if newer else b""
        )

    async def pull_parts(self, request: PullPartsRequest) -> PullPartsReply:
        """Handle PULL_PARTS: return the parts that this process holds."""
        found = {}
        for digest in request.digests:
            value = self.local_part(digest)
            if value is not None:
                found[digest] = value
        return PullPartsReply(parts=found)

    def handle_peer_version(self, address: str, version: int) -> None:
        """Take note of a version seen in a peer's heartbeat or gossip."""
        if version > self._wanted.version:
            self._gossip.ask(address)

    async def distribute(self, applied: AppliedChange) -> None:
        """Distribute a change that was accepted by this process's store."""
        if applied.head.version > self.version:
            self._offered = dict(applied.parts)
            self._learn(applied.head_value, "")

    async def load(self) -> None:
        """Put the version from the disk in force, if there is one."""
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
            self._note_error(f"the data folder's configuration is unusable: {error}")
            return
        if head.version >= self._wanted.highest:
            self._put_in_force(head, value, ordered, configuration)

    async def run(self) -> None:
        """Keep the configuration current until cancelled."""
        await self.load()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._start_and_pull())
                group.create_task(self._digest_loop())
                if self._key_value is not None:
                    group.create_task(self._watch_loop(self._key_value))
        finally:
            self._gossip.close()

    async def _start_and_pull(self) -> None:
        await self._cold_start()
        await self._pull_loop()

    async def _cold_start(self) -> None:
        """Ask many peers at once, to start from the highest version known.

        Goes on through all peers until one answers, because most of them may be
        unreachable.
        """
        everyone = self._gossip.everyone() * const.COLD_PASSES
        for first in range(0, len(everyone), const.COLD_START_PEERS):
            asking = self._gossip.ask_all(
                everyone[first : first + const.COLD_START_PEERS]
            )
            wait_s = const.COLD_ROUND_S if first else const.COLD_START_WAIT_S
            await asyncio.wait(asking, timeout=wait_s)
            if self._current is not None or self._wanted.head is not None:
                return

    async def _digest_loop(self) -> None:
        cold_s = const.COLD_INTERVAL_S
        while True:
            mean_s = self._digest_interval_s
            if self._current is None:
                mean_s = min(cold_s, mean_s)
                # Without any version in the deployment, asking fast is no use.
                cold_s *= 1.5
            await self._clock.sleep(mean_s * self._random.uniform(0.5, 1.5))
            self._gossip.ask_all(self._gossip.choose(1 if self._current else 3))

    async def _watch_loop(self, key_value: KeyValueStore) -> None:
        await watch_head(
            key_value=key_value,
            clock=self._clock,
            random=self._random,
            is_watcher=self._is_watcher,
            on_head=lambda value: self._learn(value, const.KEY_VALUE_SOURCE),
            on_error=self._note_error,
        )

    def _learn(self, value: bytes, source: str) -> None:
        """Take note of a head; the pull loop fetches it if it is newer."""
        try:
            head = decode_head(value)
        except ConfigurationError as error:
            self._note_error(f"head from {source or 'a peer'}: {error}")
            return
        fault = self._wanted.learn(head, value, source)
        if fault:
            self._note_error(fault)
        if self._wanted.head is not None:
            self._wake.set()

    async def _pull_loop(self) -> None:
        attempt = 0
        while True:
            await self._wake.wait()
            head = self._wanted.head
            if head is None:
                self._wake.clear()
                attempt = 0
                continue
            if await self._pull(head, self._wanted.value, attempt):
                attempt = 0
                continue
            delay_s = min(const.RETRY_MAX_S, const.RETRY_MIN_S * 2**attempt)
            attempt = min(attempt + 1, const.RETRY_DOUBLINGS)
            await self._clock.sleep(delay_s * self._random.uniform(0.5, 1.0))

    async def _pull(self, head: Head, value: bytes, attempt: int) -> bool:
        """Fetch and put one version in force; False asks for another attempt."""
        held = {digest: self.local_part(digest) for digest in head.parts}
        parts = {digest: part for digest, part in held.items() if part is not None}
        missing = [digest for digest in held if digest not in parts]
        if missing:
            parts.update(await fetch_parts(missing, self._part_source(attempt)))
        # Parts that did arrive are kept, so that a repeated pull asks for the rest.
        self._offered.update(parts)
        if len(parts) < len(held):
            return False
        ordered = {digest: parts[digest] for digest in head.parts}
        try:
            configuration = self._build(head, list(ordered.values()))
        except ConfigurationError as error:
            self._wanted.reject(head)
            self._note_error(f"version {head.version}: {error}")
            return True
        await self._save(head, value, ordered)
        self._put_in_force(head, value, ordered, configuration)
        self._gossip.push(self._push_count)
        return True

    def _part_source(self, attempt: int) -> PartSource:
        known = self._wanted.known_sources(attempt)
        if not known and not self._wanted.sources:
            known = self._gossip.choose(const.PULL_PEERS)
        elif attempt:
            known += self._gossip.choose(1)
        return PartSource(
            call=self._call,
            addresses=known,
            clock=self._clock,
            key_value=self._key_value if self._is_watcher() else None,
            timeout_s=min(const.CALL_TIMEOUT_MAX_S, const.CALL_TIMEOUT_S * 2**attempt),
        )

    def local_part(self, digest: str) -> bytes | None:
        """Return a part that this process holds, or None."""
        for parts in (self._offered, *self._kept):
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
            # The version is put in force all the same; only a restart is weaker.
            self._note_error(f"cannot write to the data folder: {error}")

    def _put_in_force(
        self,
        head: Head,
        value: bytes,
        parts: dict[str, bytes],
        configuration: Configuration,
    ) -> None:
        self._current = ConfigurationVersion(head=head, configuration=configuration)
        self._current_value = value
        self._wanted.put_in_force(head)
        self._in_force_time_s = self._clock.time_s()
        self._kept = [parts, *self._kept][: const.RETAINED_PART_VERSIONS]
        if self._wanted.head is None:
            self._offered = {}
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
                # A faulty listener must not end the distribution.
                eliot.write_traceback()

    def _note_error(self, text: str) -> None:
        if text != self._last_error:
            eliot.log_message(message_type="version:problem", reason=text)
        self._last_error = text
