"""Copying of records from this disk to other storage members."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from lentilroad.conversation.const import PULL_TIMEOUT_S
from lentilroad.conversation.members import Member
from lentilroad.conversation.messages import (
    PUT_LEDGERS,
    PUT_TURNS,
    WHICH_TURNS,
    PutLedgers,
    PutTurns,
    TurnRecord,
    WhichTurns,
)
from lentilroad.conversation.replica import Replica
from lentilroad.membership.rendezvous import rank

PUSH_BATCH_TURNS = 50
PUSH_BATCH_LEDGERS = 200


class RecordCopier:
    """Sends records of this disk to members that lack them.

    Parameters
    ----------
    call : callable
        Calls to peers; see `lentilroad.connection.peers.PeerConnections.call`.
    replica : Replica
        Turns and grants stored on this process's disk.
    """

    def __init__(
        self, *, call: Callable[..., Awaitable[Any]], replica: Replica
    ) -> None:
        self._call = call
        self._replica = replica

    async def push_missing_copies(
        self, turns: dict[str, TurnRecord], others: list[Member], copy_count: int
    ) -> None:
        """Copy turns to other members until `copy_count` of them store each turn.

        Raises
        ------
        LentilroadError
            A member refused a call or could not be reached.
        TimeoutError
            A member did not reply in time.
        """
        if not turns:
            return
        request = WhichTurns(turn_ids=list(turns))
        replies = await asyncio.gather(
            *(
                self._call(m.address, WHICH_TURNS, request, timeout_s=PULL_TIMEOUT_S)
                for m in others
            )
        )
        copies: dict[str, set[str]] = {turn_id: set() for turn_id in turns}
        for member, reply in zip(others, replies, strict=True):
            for turn_id in reply.turn_ids:
                copies[turn_id].add(member.disk_id)
        disks = [member.disk_id for member in others]
        targets = {
            turn_id: _choose_new_holders(turn_id, holders, disks, copy_count)
            for turn_id, holders in copies.items()
        }
        await asyncio.gather(
            *(
                self._push_turns(
                    member,
                    [turns[t] for t, to in targets.items() if member.disk_id in to],
                )
                for member in others
            )
        )

    async def _push_turns(self, member: Member, turns: list[TurnRecord]) -> None:
        for start in range(0, len(turns), PUSH_BATCH_TURNS):
            batch = turns[start : start + PUSH_BATCH_TURNS]
            await self._call(
                member.address,
                PUT_TURNS,
                PutTurns(turns=batch, lifetimes=self._replica.lifetimes(batch)),
                timeout_s=PULL_TIMEOUT_S,
            )

    async def push_ledgers(self, member: Member) -> None:
        """Send the grants of all programs to another member."""
        ledgers = self._replica.ledgers()
        for start in range(0, len(ledgers), PUSH_BATCH_LEDGERS):
            await self._call(
                member.address,
                PUT_LEDGERS,
                PutLedgers(ledgers=ledgers[start : start + PUSH_BATCH_LEDGERS]),
                timeout_s=PULL_TIMEOUT_S,
            )


def _choose_new_holders(
    turn_id: str, holders: set[str], disks: list[str], copies: int
) -> list[str]:
    """Return the disks to copy a turn to, so that it has `copies` copies."""
    missing = max(0, copies - len(holders))
    candidates = [disk for disk in disks if disk not in holders]
    return rank(turn_id, candidates)[:missing]
