"""Measure what a streamed token and a call cost the sidecar.

Usage:
  bench_sidecar [options]

Options:
  --streams=<n>  Concurrent calls. [default: 90]
  --readers=<n>  Entries, each with a connection of its own. [default: 67]
  --short=<n>    Tokens of a short call. [default: 60]
  --long=<n>     Tokens of a long call. [default: 360]
  --runs=<n>     Runs of each kind; medians are printed. [default: 3]

The stand-in engine, the sidecar and a naive byte relay run in processes of their own;
the reader runs in this one. The defaults are the load of one worker at peak: 1,700
tokens/s with 53 ms between the tokens of a call, from 67 of the 143 entries of a
region (the expected number when the balancer spreads 90 calls). The CPU time of the
measured process is taken for short and for long calls: the difference is the cost of
the additional tokens, the rest is the cost of the calls. The figures of the relay,
which passes bytes on and keeps nothing, are the baseline.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import statistics
import sys
from collections.abc import Awaitable, Callable
from multiprocessing.connection import Connection
from typing import Any

import aiohttp
import uvloop
from aiohttp import web
from docopt import docopt

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.process.sidecar import start_sidecar
from lentilroad.request.concurrency import ConcurrencyLimit
from lentilroad.standins.engine import EngineCosts, EngineStandIn, build_application
from lentilroad.wire import messages as m
from lentilroad.wire import services

TARGET_US = 60.0
_STEP_S = 0.053
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _serve(application: web.Application) -> int:
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return int(runner.addresses[0][1])


async def _engine(url: str) -> str:
    costs = EngineCosts(step_s=_STEP_S, per_request_s=0.0, batch_limit=1000)
    engine = EngineStandIn(clock=SystemClock(), costs=costs)
    return f"http://127.0.0.1:{await _serve(build_application(engine=engine))}"


async def _sidecar(url: str) -> str:
    sidecar = await start_sidecar(
        upstream_id="engine-1",
        kind="engine",
        upstream_url=url,
        names=["model"],
        region="r",
        availability_zone="z",
        entries=[],
        # A limit that adapts would make later runs wait.
        concurrency=ConcurrencyLimit(clock=SystemClock(), initial=256, minimum=256),
    )
    return sidecar.address


async def _relay(url: str) -> str:
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def relay(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        async with session.post(
            url + request.path, data=await request.read()
        ) as upstream:
            async for data in upstream.content.iter_any():
                await response.write(data)
        await response.write_eof()
        return response

    application = web.Application()
    application.add_routes([web.post("/{path:.*}", relay)])
    return f"http://127.0.0.1:{await _serve(application)}"


def _child(
    start: Callable[[str], Awaitable[str]], url: str, connection: Connection
) -> None:
    async def run() -> None:
        connection.send(await start(url))
        await asyncio.Event().wait()

    uvloop.run(run())


def _start(
    start: Callable[[str], Awaitable[str]], url: str = ""
) -> tuple[multiprocessing.process.BaseProcess, str]:
    context = multiprocessing.get_context("spawn")
    parent, child = context.Pipe()
    process = context.Process(target=_child, args=(start, url, child), daemon=True)
    process.start()
    return process, parent.recv()


def _messages(number: int, tokens: int) -> list[m.ChatMessage]:
    return [m.ChatMessage(role="user", content=f"question {number} [tokens={tokens}]")]


async def _read_sidecar(
    address: str, streams: int, tokens: int, run: int, readers: int
) -> int:
    peers = [PeerConnections(clock=SystemClock()) for _ in range(readers)]
    received = 0

    async def follow(number: int) -> None:
        nonlocal received
        call_id = f"run-{run}-call-{number}"
        request = _dispatch_request(call_id, number, tokens)
        peer = peers[number % len(peers)]
        attach = m.AttachRequest(call_id=call_id)
        reader = asyncio.ensure_future(
            _read_chunks(peer.stream(address, services.ATTACH, attach, None))
        )
        async for event in peer.stream(address, services.DISPATCH, request, None):
            last = event.event
        text = await reader
        assert isinstance(last, m.Finished), last
        assert text == last.text
        received += last.usage.completion_tokens
        release = m.ReleaseRequest(call_id=call_id, shard="r/0001", epoch=1)
        await peer.call(address, services.RELEASE, release, 5.0)

    await asyncio.gather(*[follow(number) for number in range(streams)])
    for peer in peers:
        await peer.close()
    return received


def _dispatch_request(call_id: str, number: int, tokens: int) -> m.DispatchRequest:
    return m.DispatchRequest(
        call_id=call_id,
        shard="r/0001",
        epoch=1,
        program_id=f"program-{number}",
        caller_id="caller-1",
        kind="chat",
        idempotent=True,
        # The queue must not refuse part of the load.
        priority=m.Priority(caller_id="caller-1", under_way=True),
        model="model",
        messages=_messages(number, tokens),
        max_tokens=tokens,
    )


async def _read_chunks(chunks: Any) -> str:
    return "".join([chunk.text async for chunk in chunks])


async def _read_relay(
    url: str, streams: int, tokens: int, run: int, readers: int
) -> int:
    received = 0

    async def follow(session: aiohttp.ClientSession, number: int) -> None:
        nonlocal received
        body = {
            "model": "model",
            "messages": [
                {"role": "user", "content": message.content}
                for message in _messages(number, tokens)
            ],
            "max_tokens": tokens,
            "stream": True,
        }
        async with session.post(f"{url}/v1/chat/completions", json=body) as response:
            data = await response.read()
        received += data.count(b'"content":"')

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*[follow(session, number) for number in range(streams)])
    return received


def measure(
    *, streams: int, lengths: tuple[int, int], runs: int, readers: int
) -> list[tuple[list[float], list[float]]]:
    """Return the cost of a token and of a call, for the sidecar and for the relay.

    Parameters
    ----------
    streams : int
        Concurrent calls.
    lengths : tuple[int, int]
        Tokens of a short and of a long call.
    runs : int
        Runs of each kind; they alternate.
    readers : int
        Entries, each with a connection of its own.

    Returns
    -------
    list[tuple[list[float], list[float]]]
        For each process, microseconds per token and per call, one value per run.
    """
    engine, url = _start(_engine)
    kinds = [
        (*_start(_sidecar, url), _read_sidecar),
        (*_start(_relay, url), _read_relay),
    ]
    figures: list[tuple[list[float], list[float]]] = [([], []), ([], [])]
    for number, (_, address, read) in enumerate(kinds):
        # The first calls of a process cost more.
        uvloop.run(read(address, streams, lengths[0], -1 - number, readers))
    for run in range(runs):
        for (process, address, read), (per_token, per_call) in zip(
            kinds, figures, strict=True
        ):
            used_us = []
            for length in lengths:
                before_s = cpu_s(process.pid or 0)
                number = run * max(lengths) + length
                received = uvloop.run(read(address, streams, length, number, readers))
                assert received == streams * length
                used_us.append(1e6 * (cpu_s(process.pid or 0) - before_s) / streams)
            token_us = (used_us[1] - used_us[0]) / (lengths[1] - lengths[0])
            per_token.append(token_us)
            per_call.append(used_us[0] - token_us * lengths[0])
    for process in (engine, kinds[0][0], kinds[1][0]):
        process.terminate()
    return figures


def _line(
    name: str, values: list[float], baseline: list[float], target: float | None
) -> str:
    value = statistics.median(values)
    return json.dumps(
        {
            "name": name,
            "value": round(value, 1),
            "unit": "us",
            "target": target,
            "better": "lower",
            "met": None if target is None else value <= target,
            "baseline": round(statistics.median(baseline), 1),
            "runs": [round(figure, 1) for figure in values],
            "baseline_runs": [round(figure, 1) for figure in baseline],
        }
    )


def main(argv: list[str] | None = None) -> int:
    """Print one JSON line per figure."""
    arguments = docopt(__doc__, argv=argv)
    sidecar, relay = measure(
        streams=int(arguments["--streams"]),
        lengths=(int(arguments["--short"]), int(arguments["--long"])),
        runs=int(arguments["--runs"]),
        readers=int(arguments["--readers"]),
    )
    lines = [
        _line("sidecar_cpu_per_token", sidecar[0], relay[0], TARGET_US),
        _line("sidecar_cpu_per_call", sidecar[1], relay[1], None),
    ]
    sys.stdout.write("\n".join(lines) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
