"""Memory that programs hold in owner and standby."""

from __future__ import annotations

import asyncio
import tracemalloc
from random import Random

from lentilroad.program.history import (
    History,
    append_history,
    pack_history,
    read_history,
)
from lentilroad.standins.virtual_loop import run_virtual
from lentilroad.wire.messages import ChatMessage
from tests.program.cluster import Cluster, chat, final, open_program, read_program

WORDS = [f"word{number}" for number in range(4_000)]


def _text(random, size_bytes):
    return " ".join(random.choices(WORDS, k=size_bytes // 9))


def test_packed_history_reads_back_unchanged():
    """Compression must not change a conversation."""
    random = Random(1)
    history = History()
    messages = []
    for number in range(30):
        added = [ChatMessage(role="user", content=f"{number} é {_text(random, 900)}")]
        messages.extend(added)
        append_history(history, added)
        if number % 7 == 0:
            pack_history(history)
    assert read_history(history) == messages
    assert history.length == len(messages)


def test_650_idle_programs_stay_below_the_memory_limit():
    """Owner and standby must hold 650 programs of 20,000 tokens in 256 MB."""

    async def main():
        cluster = Cluster()
        a = cluster.entries["a"]
        random = Random(1)
        count = 65
        tracemalloc.start()
        for number in range(count):
            name = f"p{number}"
            await open_program(a, name)
            for turn in range(4):
                text = _text(random, 20_000)
                await final(a, chat(f"k{turn}", text, program_id=name))
        cluster.runs.clear()
        for sidecar in cluster.sidecars.values():
            sidecar._entries.clear()
        await asyncio.sleep(10)
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        # 650 owned programs and 650 copies are ten times what is measured here.
        assert used_bytes * 10 < 200_000_000
        assert len((await read_program(a, "p3")).history) == 8

    run_virtual(main())
