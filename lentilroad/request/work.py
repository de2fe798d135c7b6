"""What the choice of an instance for a request depends on."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Work:
    """What the choice of an instance depends on.

    Attributes
    ----------
    rank : tuple of float
        Order among waiting work; the lowest goes first.
    preferred : str
        Instance that served the conversation last.
    excluded : set of str
        Instances that refused or failed this request.
    """

    service: str
    rank: tuple[float, ...]
    left_s: float
    prompt_parts: tuple[tuple[str, int], ...] = ()
    history_tokens: int = 0
    preferred: str = ""
    affinity_key: str = ""
    excluded: set[str] = field(default_factory=set)
