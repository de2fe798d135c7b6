"""Order in which entries can expect what a coordinator grants at a limited rate."""

from __future__ import annotations

from dataclasses import dataclass, field

MIN_PAUSE_S = 0.01
# An entry that does not ask again this long after its pause needs nothing.
CONTENDER_EXPIRY_S = 1.0


@dataclass(slots=True, kw_only=True)
class WaitOrder:
    """Entries that were refused, and when the next one can expect a grant.

    Attributes
    ----------
    next_expected_s : float
        Monotonic time at which the next refused entry can expect a grant.
    contenders : dict of str to float
        Monotonic time until which each entry counts as contending.
    """

    next_expected_s: float = 0.0
    contenders: dict[str, float] = field(default_factory=dict)

    def expire(self, now_s: float) -> None:
        """Remove the entries that have not asked again."""
        for entry, until_s in list(self.contenders.items()):
            if until_s < now_s:
                del self.contenders[entry]

    def add(self, entry: str, *, now_s: float, pause_s: float) -> None:
        """Count an entry as contending until some time after its pause."""
        self.contenders[entry] = now_s + pause_s + CONTENDER_EXPIRY_S

    def next_wait_s(
        self, entry: str, *, rate_per_s: float, available_at_s: float, now_s: float
    ) -> float:
        """Return the seconds after which a refused entry can expect a grant.

        Refused entries expect one grant each, in the order of their requests.

        Parameters
        ----------
        entry : str
            Address of the refused entry.
        rate_per_s : float
            Grants per second to all entries; above zero.
        available_at_s : float
            Monotonic time at which the next grant is possible.
        now_s : float
            Monotonic time.
        """
        interval_s = 1.0 / rate_per_s
        contenders = len(self.contenders.keys() | {entry})
        expected_at_s = max(available_at_s, self.next_expected_s)
        self.next_expected_s = min(
            expected_at_s + interval_s, now_s + contenders * interval_s
        )
        return max(MIN_PAUSE_S, expected_at_s - now_s)
