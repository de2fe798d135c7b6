"""Stand-in for the platform's workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

EVENTS_PER_TURN = 3
EVENT_PAUSE_S = 0.01


def event_data(attempt: str, number: int) -> str:
    """Return the data of one event of a turn."""
    return f"{attempt}.{number}"


class Worker:
    """Worker that streams three events a turn and answers other requests at once.

    Parameters
    ----------
    worker_id : str
        Id; a request that expects another one gets status 421.
    on_run : callable
        Called with the worker's id, the attempt id and the body when a request begins
        to run.
    """

    def __init__(
        self, *, worker_id: str, on_run: Callable[[str, str, bytes], None]
    ) -> None:
        self.worker_id = worker_id
        self.address = ""
        self._on_run = on_run
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head.split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (row.partition(":") for row in rest)
                }
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self._answer(line.split(" ")[1], headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The entry closed the connection.
        finally:
            writer.close()

    async def _answer(
        self,
        target: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = headers.get("lentilroad-attempt-id", "")
        common = f"Lentilroad-Attempt-Id: {attempt}\r\n"
        if headers.get("lentilroad-expected-instance") != self.worker_id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\n{common}"
                "Lentilroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        self._on_run(self.worker_id, attempt, body)
        sealed = f"HTTP/1.1 200 OK\r\n{common}Lentilroad-Response-Seal: {attempt}\r\n"
        if not target.startswith("/turn/"):
            answer = f"done {attempt}".encode()
            writer.write(f"{sealed}Content-Length: {len(answer)}\r\n\r\n".encode())
            writer.write(answer)
            return
        writer.write(
            f"{sealed}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, EVENTS_PER_TURN + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = f"id: {number}\ndata: {event_data(attempt, number)}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
