"""Requirements of a request on the instance that it is sent to."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """Request for a slot of an instance.

    Attributes
    ----------
    rank : tuple of float
        Sort key among waiting requests; the lowest is placed first.
    remaining_s : float
        Seconds until the request's deadline.
    prompt_parts : tuple of (str, int)
        Parts of the prompt in order, with their tokens.
    history_tokens : int
        Tokens that any instance but the preferred one has to prefill.
    preferred_instance_id : str
        Instance that served the previous turn of the conversation; empty for none.
    affinity_key : str
        Key whose requests are sent to the same instance; empty for none.
    under_way : bool
        Whether the request belongs to a program that has already run a request.
    customer : str
        Name of the customer; empty if requests need no key.
    excluded : set of str
        Ids of instances that refused or failed this request.
    """

    service: str
    rank: tuple[float, ...]
    remaining_s: float
    prompt_parts: tuple[tuple[str, int], ...] = ()
    history_tokens: int = 0
    preferred_instance_id: str = ""
    affinity_key: str = ""
    under_way: bool = False
    customer: str = ""
    excluded: set[str] = field(default_factory=set)
