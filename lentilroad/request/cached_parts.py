"""Index of the prompt parts that instances have likely cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.const import CACHED_PART_LIFETIME_S, CACHED_PARTS_MAX

# Instances per prompt part that one choice considers, the most recent first. A part
# that more instances have cached is shared by many programs and short.
MAX_HOLDERS_PER_PART = 4
# Instances per prompt that one choice considers, over all its parts.
MAX_CANDIDATES_PER_PROMPT = 8


class CachedPartIndex:
    """Index from prompt parts to the instances that were sent them recently.

    `UpstreamState.recent_parts` is the opposite direction: the parts of one instance.
    """

    __slots__ = ("_holders", "_used_s")

    def __init__(self) -> None:
        self._holders: dict[str, dict[str, None]] = {}
        # Monotonic time of the last use of each part, the oldest first.
        self._used_s: OrderedDict[str, float] = OrderedDict()

    def record(
        self, state: UpstreamState, parts: tuple[tuple[str, int], ...], now_s: float
    ) -> None:
        """Record that a prompt with these parts is about to be sent to an instance."""
        instance_id = state.instance.instance_id
        recent = state.recent_parts
        for part, _ in parts:
            recent.pop(part, None)
            recent[part] = now_s
            holders = self._holders.setdefault(part, {})
            holders.pop(instance_id, None)
            holders[instance_id] = None
            self._used_s[part] = now_s
            self._used_s.move_to_end(part)
        while len(recent) > CACHED_PARTS_MAX:
            oldest = next(iter(recent))
            del recent[oldest]
            self._holders.get(oldest, {}).pop(instance_id, None)

    def holders(self, parts: tuple[tuple[str, int], ...]) -> Iterator[str]:
        """Return the ids of instances that have parts of a prompt, last part first.

        A later part is more specific to the conversation.
        """
        found: set[str] = set()
        for part, _ in reversed(parts):
            newest_first = reversed(self._holders.get(part, {}))
            for instance_id in islice(newest_first, MAX_HOLDERS_PER_PART):
                if instance_id not in found:
                    found.add(instance_id)
                    yield instance_id
            if len(found) >= MAX_CANDIDATES_PER_PROMPT:
                return

    def expire(self, now_s: float) -> None:
        """Remove parts that no request has used for `CACHED_PART_LIFETIME_S`."""
        while self._used_s:
            part, used_s = next(iter(self._used_s.items()))
            if now_s - used_s <= CACHED_PART_LIFETIME_S:
                return
            del self._used_s[part]
            self._holders.pop(part, None)
