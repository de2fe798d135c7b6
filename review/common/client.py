"""Client that sends turns to entries and checks nothing itself."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

from common.machines import Machine

HOST = "review.example"
DEADLINE_S = 3.0
CONNECT_S = 1.0
TOKENS_PER_EVENT = 10
MOST_TOKENS = 30
# Statuses and ends after which a client sends a turn again.
REPEATED = frozenset((0, 429, 500, 502, 503, 504))

_numbers = itertools.count(1)


@dataclass(slots=True, kw_only=True)
class Answer:
    """Answer to one client attempt; status 0 if there was none."""

    attempt: str
    status: int
    whole: bool
    events: int
    text: str


@dataclass(slots=True, kw_only=True)
class Program:
    """One agent program with one line of turns."""

    name: str
    budget: int
    tokens: int = 0
    # Attempt ids of the turns that were answered whole, and when.
    turns: list[str] = field(default_factory=list)
    answered_s: float = 0.0


async def send_turn(
    entry: Machine, program: Program, *, input_bytes: int = 0
) -> Answer:
    """Send the program's next turn once, on a new connection."""
    attempt = f"a{next(_numbers):015x}"
    body = f"input of {attempt}".ljust(input_bytes, ".").encode() + b"\n"
    lines = [
        "POST /turn/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Lentilroad-Attempt-Id: {attempt}",
        f"Lentilroad-Deadline-Milliseconds: {int(1000 * DEADLINE_S)}",
        f"Lentilroad-Program-Id: {program.name}",
        f"Lentilroad-Session-Id: {program.name}",
        "Lentilroad-Finish-Milliseconds: 60000",
        f"Lentilroad-Token-Budget: {program.budget}",
        f"Lentilroad-Token-Counts: 20,{MOST_TOKENS}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if program.turns:
        lines.append(f"Lentilroad-Previous-Turn: {program.turns[-1]}")
    request = "\r\n".join([*lines, "", ""]).encode() + body
    received = b""
    try:
        async with asyncio.timeout(DEADLINE_S + CONNECT_S):
            host, port = entry.client_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request)
                while data := await reader.read(65536):
                    received += data
            finally:
                writer.close()
    except (OSError, TimeoutError):
        pass
    answer = _decode(attempt, received)
    program.tokens += TOKENS_PER_EVENT * answer.events
    if answer.status == 200 and answer.whole:
        program.turns.append(attempt)
        program.answered_s = asyncio.get_running_loop().time()
    return answer


def _decode(attempt: str, received: bytes) -> Answer:
    head, _, rest = received.partition(b"\r\n\r\n")
    fields = head.split(b" ", 2)
    status = int(fields[1]) if len(fields) > 1 and fields[1].isdigit() else 0
    chunked = b"transfer-encoding: chunked" in head.lower()
    whole = not chunked
    body = rest
    if chunked:
        body = b""
        while rest:
            size_text, _, rest = rest.partition(b"\r\n")
            size = int(size_text or b"0", 16)
            if size == 0:
                whole = rest.startswith(b"\r\n")
                break
            body += rest[:size]
            rest = rest[size + 2 :]
    return Answer(
        attempt=attempt,
        status=status,
        whole=whole and status != 0,
        events=body.count(b"data:") if status == 200 else 0,
        text=body.decode(errors="replace")[:200].replace("\n", " "),
    )
