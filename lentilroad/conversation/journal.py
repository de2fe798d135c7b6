"""Append-only journal with checksums, synced in batches by one thread."""

from __future__ import annotations

import asyncio
import os
import struct
import threading
from collections import deque
from collections.abc import Callable, Iterator
from pathlib import Path

import xxhash

from lentilroad.clock import Clock
from lentilroad.conversation.errors import DiskRefusedError
from lentilroad.process.events import log_event

_HEADER = struct.Struct("<IQ")
_SUFFIX = ".segment"


class Journal:
    """Segments of checksummed records in one folder.

    Every start begins a new segment, so that no record follows a torn one.

    Parameters
    ----------
    folder : Path
        Folder of the segments; created if missing.
    segment_bytes : int
        Size at which the next segment is started.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, folder: Path, segment_bytes: int, clock: Clock) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._clock = clock
        numbers = [number for number, _ in self._segments()]
        self._segment_number = max(numbers, default=0)
        self._file = -1
        self._file_bytes = 0
        self._pending: deque[
            tuple[bytes, asyncio.Future[int], asyncio.AbstractEventLoop]
        ] = deque()
        self._wake = threading.Condition()
        # Monotonic time at which the write in flight started; None while idle.
        self._writing_since_s: float | None = None
        # Monotonic time of the first refused write; None while the disk accepts writes.
        self.refused_since_s: float | None = None
        self._stopped = False
        self._thread: threading.Thread | None = None

    def read(self) -> Iterator[tuple[int, bytes]]:
        """Yield the segment number and the payload of each intact record."""
        for number, path in self._segments():
            content = path.read_bytes()
            position = 0
            while position + _HEADER.size <= len(content):
                size, checksum = _HEADER.unpack_from(content, position)
                start = position + _HEADER.size
                payload = content[start : start + size]
                if len(payload) < size or xxhash.xxh64_intdigest(payload) != checksum:
                    log_event(
                        "journal_torn", segment=path.name, position_bytes=position
                    )
                    break
                yield number, payload
                position = start + size

    async def append(self, payload: bytes) -> int:
        """Write a record and return its segment number once it is synced.

        Raises
        ------
        DiskRefusedError
            The disk refused the write.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[int] = loop.create_future()
        with self._wake:
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="journal", daemon=True
                )
                self._thread.start()
            self._pending.append((payload, future, loop))
            self._wake.notify()
        return await future

    def pending_write_s(self) -> float:
        """Return for how long the current write has been in flight."""
        started_s = self._writing_since_s
        return 0.0 if started_s is None else self._clock.monotonic_s() - started_s

    def remove_before(self, number: int) -> int:
        """Remove the segments before `number` and return their count."""
        removed = 0
        for segment_number, path in self._segments():
            if segment_number < number:
                path.unlink(missing_ok=True)
                removed += 1
        return removed

    def current_segment(self) -> int:
        """Return the number of the newest segment."""
        return self._segment_number

    def size_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(path.stat().st_size for _, path in self._segments())

    def close(self) -> None:
        """Stop the thread after all pending records are written."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        if self._thread is not None:
            self._thread.join(timeout=2.0)

    def _segments(self) -> list[tuple[int, Path]]:
        return sorted(
            (int(path.stem), path)
            for path in self._folder.iterdir()
            if path.suffix == _SUFFIX and path.stem.isascii() and path.stem.isdigit()
        )

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._pending and not self._stopped:
                    self._wake.wait()
                if not self._pending:
                    return
                batch = list(self._pending)
                self._pending.clear()
            error: OSError | None = None
            self._writing_since_s = self._clock.monotonic_s()
            try:
                self._write([payload for payload, _, _ in batch])
            except OSError as os_error:
                error = os_error
                self._truncate_unsynced()
            self._record_outcome(error, loop=batch[0][2])
            self._writing_since_s = None
            for _, future, loop in batch:
                _call_in_loop(loop, _completion(future, self._segment_number, error))

    def _write(self, payloads: list[bytes]) -> None:
        if self._file < 0 or self._file_bytes >= self._segment_bytes:
            self._close_file()
            self._segment_number += 1
            path = self._folder / f"{self._segment_number:08d}{_SUFFIX}"
            self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
            self._file_bytes = 0
        data = b"".join(
            _HEADER.pack(len(payload), xxhash.xxh64_intdigest(payload)) + payload
            for payload in payloads
        )
        written = 0
        while written < len(data):
            written += os.write(self._file, data[written:])
        os.fdatasync(self._file)
        self._file_bytes += len(data)

    def _truncate_unsynced(self) -> None:
        """Truncate the segment to its last sync, so that the next write reuses it.

        Starting a new segment after each refused write would fill the folder with empty
        files.
        """
        try:
            os.ftruncate(self._file, self._file_bytes)
        except OSError:
            # No record may follow a torn one, which `read` reports.
            self._close_file()

    def _record_outcome(
        self, error: OSError | None, *, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Log when the disk starts and stops refusing writes."""
        now_s = self._clock.monotonic_s()
        started_s = self.refused_since_s
        if error is None and started_s is not None:
            self.refused_since_s = None
            self._log(loop, "disk_takes_writes", refused_s=round(now_s - started_s, 3))
        if error is not None and started_s is None:
            self.refused_since_s = now_s
            self._log(loop, "disk_refuses_writes", error=str(error))

    def _log(
        self, loop: asyncio.AbstractEventLoop, event: str, **fields: object
    ) -> None:
        folder = str(self._folder)
        _call_in_loop(loop, lambda: log_event(event, folder=folder, **fields))

    def _close_file(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _completion(
    future: asyncio.Future[int], number: int, error: OSError | None
) -> Callable[[], None]:
    def complete() -> None:
        if future.done():
            return
        if error is None:
            future.set_result(number)
            return
        future.set_exception(
            DiskRefusedError(f"the disk refused a write ({error}); free disk space")
        )

    return complete


def _call_in_loop(
    loop: asyncio.AbstractEventLoop, callback: Callable[[], None]
) -> None:
    try:
        loop.call_soon_threadsafe(callback)
    except RuntimeError:
        # The loop was closed at process exit; no caller waits for the result.
        return
