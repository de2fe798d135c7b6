"""Prefix cache of the stand-in engine, with one node per prompt message."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
import xxhash

from lentilroad.standins.engine_text import message_tokens
from lentilroad.wire.messages import ChatMessage


@dataclass(slots=True, kw_only=True)
class _Node:
    tokens: int
    pins: int = 0
    programs: set[str] = field(default_factory=set)


class PathStep(msgspec.Struct, frozen=True):
    """One message of a prompt: hash of the prompt up to its end, and token count."""

    key: int
    tokens: int


def extend_key(key: int, role: str, content: str) -> int:
    """Return the hash of a prompt extended by one message."""
    return xxhash.xxh64_intdigest(f"{role}\0{content}".encode(), key)


def prompt_path(model: str, messages: Sequence[ChatMessage]) -> list[PathStep]:
    """Return the path of a prompt in the cache."""
    key = xxhash.xxh64_intdigest(model.encode())
    path = []
    for message in messages:
        key = extend_key(key, message.role, message.content)
        path.append(PathStep(key, message_tokens(message)))
    return path


class PrefixCache:
    """Limited memory shared by running requests and cached prefixes.

    Nodes are evicted in least-recently-used order unless a running request pins
    them. A node belongs to every program whose prompt contains its prefix, and is
    freed when the last of these programs is released.

    Parameters
    ----------
    capacity_tokens : int
        Memory in tokens.
    on_change : Callable[[str, str, int], None]
        Called with the kind of change, the program id and the number of tokens that
        the program owns after the change.
    """

    def __init__(
        self, *, capacity_tokens: int, on_change: Callable[[str, str, int], None]
    ) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self.program_tokens: dict[str, int] = {}
        self._on_change = on_change
        # Ordered by last use. A prefix is moved to the end after its extensions, so
        # that extensions are evicted first.
        self._nodes: OrderedDict[int, _Node] = OrderedDict()
        self._program_keys: dict[str, set[int]] = {}

    def cached_tokens(self, path: Sequence[PathStep]) -> int:
        """Return how many leading tokens of a prompt are cached."""
        tokens = 0
        for step in path:
            if step.key not in self._nodes:
                break
            tokens += step.tokens
        return tokens

    def allocate(self, tokens: int) -> bool:
        """Allocate memory, evicting unpinned nodes; return False if that fails."""
        while self.used_tokens + tokens > self.capacity_tokens:
            if not self._evict_one():
                return False
        self.used_tokens += tokens
        return True

    def free(self, tokens: int) -> None:
        """Free memory that `allocate` reserved."""
        self.used_tokens -= tokens

    def store(self, path: Sequence[PathStep], program_id: str, *, pin: bool) -> bool:
        """Store a prompt for a program; return False if memory is insufficient."""
        present = [step for step in path if step.key in self._nodes]
        missing = [step for step in path if step.key not in self._nodes]
        for step in present:
            self._nodes[step.key].pins += 1
        if not self.allocate(sum(step.tokens for step in missing)):
            self.unpin(present)
            return False
        for step in missing:
            self._nodes[step.key] = _Node(tokens=step.tokens, pins=1)
        for step in reversed(path):
            self._assign(step, program_id)
            self._nodes.move_to_end(step.key)
        if not pin:
            self.unpin(path)
        self._on_change("stored", program_id, self.program_tokens[program_id])
        return True

    def unpin(self, path: Sequence[PathStep]) -> None:
        """Release one pin on each node of a prompt."""
        for step in path:
            node = self._nodes.get(step.key)
            if node is None:
                continue
            node.pins -= 1
            if not node.pins and not node.programs:
                self._remove(step.key)

    def _assign(self, step: PathStep, program_id: str) -> None:
        keys = self._program_keys.setdefault(program_id, set())
        self.program_tokens.setdefault(program_id, 0)
        if step.key in keys:
            return
        keys.add(step.key)
        self._nodes[step.key].programs.add(program_id)
        self.program_tokens[program_id] += step.tokens

    def release(self, program_id: str) -> None:
        """Free the nodes that belong only to this program."""
        keys = self._program_keys.pop(program_id, set())
        self.program_tokens.pop(program_id, None)
        for key in keys:
            node = self._nodes[key]
            node.programs.discard(program_id)
            if not node.programs and not node.pins:
                self._remove(key)
        if keys:
            self._on_change("released", program_id, 0)

    def program_path(self, program_id: str) -> list[PathStep]:
        """Return the nodes of a program, for an export."""
        keys = self._program_keys.get(program_id, set())
        return [
            PathStep(key, node.tokens)
            for key, node in self._nodes.items()
            if key in keys
        ]

    def clear(self) -> None:
        """Remove all nodes."""
        self._nodes.clear()
        self._program_keys.clear()
        self.program_tokens.clear()
        self.used_tokens = 0

    def _evict_one(self) -> bool:
        for key, node in self._nodes.items():
            if node.pins:
                continue
            programs = list(node.programs)
            self._remove(key)
            for program_id in programs:
                tokens = self.program_tokens.get(program_id, 0)
                self._on_change("evicted", program_id, tokens)
            return True
        return False

    def _remove(self, key: int) -> None:
        node = self._nodes.pop(key)
        self.used_tokens -= node.tokens
        for program_id in node.programs:
            keys = self._program_keys[program_id]
            keys.discard(key)
            self.program_tokens[program_id] -= node.tokens
            if not keys:
                del self._program_keys[program_id]
                del self.program_tokens[program_id]
