"""Which instances have lately read which parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from itertools import islice

from lentilroad.membership.upstreams import UpstreamState
from lentilroad.request.const import CACHED_PART_LIFETIME_S, CACHED_PARTS_MAX

# Holders of one part that a choice looks at, the most recent first. A part that more
# instances hold is shared by many programs and short.
MOST_HOLDERS = 4
# Holders of all parts of one prompt that a choice looks at.
MOST_CANDIDATES = 8


class CachedParts:
    """Parts of prompts that instances are believed to keep, by the requests sent.

    Each `UpstreamState.recent_parts` holds an instance's parts; this is the way back.
    """

    __slots__ = ("_holders", "_used_s")

    def __init__(self) -> None:
        self._holders: dict[str, dict[str, None]] = {}
        # Last use of each part, the oldest first.
        self._used_s: OrderedDict[str, float] = OrderedDict()

    def note(
        self, state: UpstreamState, parts: tuple[tuple[str, int], ...], now_s: float
    ) -> None:
        """Note that an instance is about to read the parts of a prompt."""
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
        """Return instances that hold parts of a prompt, most specific part first."""
        found: set[str] = set()
        for part, _ in reversed(parts):
            newest_first = reversed(self._holders.get(part, {}))
            for instance_id in islice(newest_first, MOST_HOLDERS):
                if instance_id not in found:
                    found.add(instance_id)
                    yield instance_id
            if len(found) >= MOST_CANDIDATES:
                return

    def forget_old(self, now_s: float) -> None:
        """Drop parts that no request has used for their lifetime."""
        while self._used_s:
            part, used_s = next(iter(self._used_s.items()))
            if now_s - used_s <= CACHED_PART_LIFETIME_S:
                return
            del self._used_s[part]
            self._holders.pop(part, None)
