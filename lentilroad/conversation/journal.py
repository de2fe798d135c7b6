"""Append-only files with checksums, synced in groups by one thread."""

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

    A new segment is begun at every start, so that nothing follows a torn record.

    Parameters
    ----------
    folder : Path
        Folder of the segments; it is created.
    segment_bytes : int
        Size after which the next segment is begun.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, folder: Path, segment_bytes: int, clock: Clock) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._clock = clock
        numbers = [number for number, _ in self._segments()]
        self._number = max(numbers, default=0)
        self._file = -1
        self._file_bytes = 0
        self._waiting: deque[
            tuple[bytes, asyncio.Future[int], asyncio.AbstractEventLoop]
        ] = deque()
        self._wake = threading.Condition()
        # Monotonic time since which the thread writes; None while it is idle.
        self._writing_since_s: float | None = None
        # The same since which the disk refuses writes; None while it takes them.
        self.refused_since_s: float | None = None
        self._stopped = False
        self._thread: threading.Thread | None = None

    def read(self) -> Iterator[tuple[int, bytes]]:
        """Return the number of the segment and the payload of each whole record."""
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
        """Write a record and return its segment once it is synced.

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
            self._waiting.append((payload, future, loop))
            self._wake.notify()
        return await future

    def pending_write_s(self) -> float:
        """Return for how long the disk has held the write under way."""
        since_s = self._writing_since_s
        return 0.0 if since_s is None else self._clock.monotonic_s() - since_s

    def remove_before(self, number: int) -> int:
        """Remove segments before `number`; returns how many there were."""
        removed = 0
        for found, path in self._segments():
            if found < number:
                path.unlink(missing_ok=True)
                removed += 1
        return removed

    def current_segment(self) -> int:
        """Return the number of the newest segment."""
        return self._number

    def size_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(path.stat().st_size for _, path in self._segments())

    def close(self) -> None:
        """Stop after all waiting records are written."""
        with self._wake:
            self._stopped = True
            self._wake.notify()
        if self._thread is not None:
            self._thread.join(timeout=2.0)

    def _segments(self) -> list[tuple[int, Path]]:
        return sorted(
            (int(path.stem), path)
            for path in self._folder.iterdir()
            if path.suffix == _SUFFIX and path.stem.isdigit()
        )

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._waiting and not self._stopped:
                    self._wake.wait()
                if not self._waiting:
                    return
                batch = list(self._waiting)
                self._waiting.clear()
            error: OSError | None = None
            self._writing_since_s = self._clock.monotonic_s()
            try:
                self._write([payload for payload, _, _ in batch])
            except OSError as failed:
                error = failed
                self._drop_unsynced()
            self._note_outcome(error, loop=batch[0][2])
            self._writing_since_s = None
            for _, future, loop in batch:
                _post(loop, _settle(future, self._number, error))

    def _write(self, payloads: list[bytes]) -> None:
        if self._file < 0 or self._file_bytes >= self._segment_bytes:
            self._close_file()
            self._number += 1
            path = self._folder / f"{self._number:08d}{_SUFFIX}"
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

    def _drop_unsynced(self) -> None:
        """Cut the segment back to its last sync, so that the next write goes there.

        A new segment for each refused write would fill the folder with empty files.
        """
        try:
            os.ftruncate(self._file, self._file_bytes)
        except OSError:
            # Nothing may follow a torn record; `read` reports it.
            self._close_file()

    def _note_outcome(
        self, error: OSError | None, *, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Log when the disk begins and ends to refuse writes."""
        now_s = self._clock.monotonic_s()
        since_s = self.refused_since_s
        if error is None and since_s is not None:
            self.refused_since_s = None
            self._log(loop, "disk_takes_writes", refused_s=round(now_s - since_s, 3))
        if error is not None and since_s is None:
            self.refused_since_s = now_s
            self._log(loop, "disk_refuses_writes", error=str(error))

    def _log(
        self, loop: asyncio.AbstractEventLoop, event: str, **fields: object
    ) -> None:
        folder = str(self._folder)
        _post(loop, lambda: log_event(event, folder=folder, **fields))

    def _close_file(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def _settle(
    future: asyncio.Future[int], number: int, error: OSError | None
) -> Callable[[], None]:
    def settle() -> None:
        if future.done():
            return
        if error is None:
            future.set_result(number)
            return
        future.set_exception(
            DiskRefusedError(f"the disk refused a write ({error}); free space on it")
        )

    return settle


def _post(loop: asyncio.AbstractEventLoop, callback: Callable[[], None]) -> None:
    try:
        loop.call_soon_threadsafe(callback)
    except RuntimeError:
        # The loop was closed at the end of the process; nobody waits any more.
        return
