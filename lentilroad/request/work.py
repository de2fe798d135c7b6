"""What the choice of an instance for a request depends on."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """What the choice of an instance depends on.

    Attributes
    ----------
    rank : tuple of float
        Order among waiting work; the lowest goes first.
    preferred_instance_id : str
        Instance that served the conversation last.
    excluded : set of str
        Instances that refused or failed this request.
    """

    service: str
    rank: tuple[float, ...]
    remaining_s: float
    prompt_parts: tuple[tuple[str, int], ...] = ()
    history_tokens: int = 0
    preferred_instance_id: str = ""
    affinity_key: str = ""
    excluded: set[str] = field(default_factory=set)
