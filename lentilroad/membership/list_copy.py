"""Copies of lists of the key-value store, compared by revision."""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.clock import Clock
from lentilroad.membership.list_messages import ListChanges, ListItem, ListState
from lentilroad.process.events import log_event

# A process that is further behind receives the whole list.
MAX_REMEMBERED_REMOVALS = 1000

OnItems = Callable[[list[ListItem]], None]


class ListCopy:
    """Copy of all items whose keys have a common prefix.

    The store counts all its changes by one revision. A copy includes each change up to
    `revision`, so that two copies can be compared without their contents: a copy is
    behind another one if the other includes a change after this revision.

    Parameters
    ----------
    name : str
        Prefix of the keys.
    clock : Clock
        Source of time.
    on_list : callable, optional
        Receives all items when the whole list was read; omitted for a copy that is only
        shared with other processes.
    on_changes : callable, optional
        Receives the items that were written or removed since.

    Attributes
    ----------
    revision : int
        Revision up to which each change is included.
    changed_revision : int
        No change after this revision and up to `revision` affects the list.
    changed_at_s : float
        Monotonic time at which this copy changed last.
    confirmed_at_s : float
        Monotonic time at which the copy was last known to equal the list in the store.
    loaded : bool
        Whether the whole list was read at least once.
    """

    __slots__ = (
        "_clock",
        "_history_from",
        "_items",
        "_on_changes",
        "_on_list",
        "_removals",
        "changed_at_s",
        "changed_revision",
        "confirmed_at_s",
        "loaded",
        "name",
        "revision",
    )

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        on_list: OnItems | None = None,
        on_changes: OnItems | None = None,
    ) -> None:
        self.name = name
        self.loaded = False
        self.revision = 0
        self.changed_revision = 0
        self.changed_at_s = float("-inf")
        self.confirmed_at_s = float("-inf")
        self._clock = clock
        self._on_list = on_list
        self._on_changes = on_changes
        self._items: dict[str, ListItem] = {}
        # Removals after `_history_from`; earlier ones are unknown.
        self._removals: dict[str, ListItem] = {}
        self._history_from = 0

    @property
    def is_used(self) -> bool:
        """Whether this process uses the list itself, and not only shares it."""
        return self._on_list is not None

    def age_s(self) -> float:
        """Return for how long the copy has not been compared with the store."""
        return self._clock.monotonic_s() - self.confirmed_at_s

    def state(self) -> ListState:
        """Return what another process needs to compare its copy with this one."""
        return ListState(
            name=self.name,
            revision=self.revision,
            changed_revision=self.changed_revision,
            age_s=self.age_s(),
        )

    def is_behind(self, state: ListState) -> bool:
        """Return whether the copy lacks a change that another copy includes."""
        if state.revision == 0:
            return False
        return not self.loaded or state.changed_revision > self.revision

    def replace(
        self,
        items: list[ListItem],
        *,
        revision: int,
        confirmed_at_s: float,
        source: str,
    ) -> None:
        """Replace the copy by the whole list as of a revision."""
        if self.loaded and revision < self.revision:
            return
        self._items = {item.key: item for item in items}
        self._removals.clear()
        self._history_from = revision
        # Removals leave no trace in the list.
        self._record_change(revision, source=source, items=len(items))
        self.loaded = True
        self.confirm(revision=revision, confirmed_at_s=confirmed_at_s)
        if self._on_list is not None:
            self._on_list(items)

    def apply(
        self,
        changes: list[ListItem],
        *,
        revision: int,
        confirmed_at_s: float,
        source: str,
    ) -> None:
        """Apply all changes up to a revision that come after the copy's own."""
        new_changes = [
            change
            for change in changes
            if change.key.startswith(self.name) and self._is_new(change)
        ]
        for change in new_changes:
            if change.removed:
                self._items.pop(change.key, None)
                self._remember_removal(change)
            else:
                self._removals.pop(change.key, None)
                self._items[change.key] = change
        if new_changes:
            self._record_change(
                max(change.revision for change in new_changes),
                source=source,
                items=len(new_changes),
            )
        self.confirm(revision=revision, confirmed_at_s=confirmed_at_s)
        if new_changes and self._on_changes is not None:
            self._on_changes(new_changes)

    def confirm(self, *, revision: int, confirmed_at_s: float) -> None:
        """Record that no change up to a revision is missing."""
        self.revision = max(self.revision, revision, self.changed_revision)
        self.confirmed_at_s = max(self.confirmed_at_s, confirmed_at_s)

    def compare(self, state: ListState, *, received_at_s: float) -> None:
        """Confirm the copy by that of another process, unless it is behind."""
        if self.loaded and state.revision > 0 and not self.is_behind(state):
            self.confirm(
                revision=state.revision, confirmed_at_s=received_at_s - state.age_s
            )

    def changes_for(self, state: ListState) -> ListChanges | None:
        """Return what a process lacks that has a copy with the given state."""
        if not self.loaded or self.changed_revision <= state.revision:
            return None
        whole = state.revision < self._history_from
        items = [*self._items.values()]
        if not whole:
            known = [*items, *self._removals.values()]
            items = [item for item in known if item.revision > state.revision]
        return ListChanges(
            name=self.name,
            whole=whole,
            after_revision=0 if whole else state.revision,
            revision=self.revision,
            age_s=self.age_s(),
            items=items,
        )

    def receive(
        self, changes: ListChanges, *, received_at_s: float, source: str
    ) -> None:
        """Apply what another process sent."""
        confirmed_at_s = received_at_s - changes.age_s
        if changes.whole:
            if self.loaded and changes.revision <= self.revision:
                return
            self.replace(
                changes.items,
                revision=changes.revision,
                confirmed_at_s=confirmed_at_s,
                source=source,
            )
        elif self.loaded and changes.after_revision <= self.revision:
            self.apply(
                changes.items,
                revision=changes.revision,
                confirmed_at_s=confirmed_at_s,
                source=source,
            )

    def _is_new(self, change: ListItem) -> bool:
        known = self._items.get(change.key)
        # The pages of a list may hold items that are newer than its revision.
        if known is not None and change.revision <= known.revision:
            return False
        return change.revision > self.revision

    def _remember_removal(self, change: ListItem) -> None:
        self._removals[change.key] = change
        if len(self._removals) > MAX_REMEMBERED_REMOVALS:
            oldest = self._removals.pop(next(iter(self._removals)))
            self._history_from = max(self._history_from, oldest.revision)

    def _record_change(self, revision: int, *, source: str, items: int) -> None:
        self.changed_revision = max(self.changed_revision, revision)
        log_event(
            "list_changed",
            list=self.name,
            revision=revision,
            previous_revision=self.revision,
            items=items,
            source=source,
            age_ms=int(1000 * min(self.age_s(), 3600.0)),
        )
        self.changed_at_s = self._clock.monotonic_s()
