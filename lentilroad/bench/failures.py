"""Failures that a simulated run can have."""

from __future__ import annotations

from collections.abc import Callable

from lentilroad.bench.simulation import Simulation

# From the start of the measured part.
FAILURE_AT_S = 60.0
FAILURE_LASTS_S = 60.0


def _no_failure(simulation: Simulation) -> None:
    """Let everything work."""


def _at_failure(
    simulation: Simulation, start: Callable[[], None], end: Callable[[], None]
) -> None:
    at_s = simulation.window.start_s + FAILURE_AT_S
    simulation.clock.after(at_s, start)
    simulation.clock.after(at_s + FAILURE_LASTS_S, end)


def _engine_dies(simulation: Simulation) -> None:
    """Let one engine die and restart with an empty cache."""
    engine = next(iter(simulation.engines.values()))
    _at_failure(simulation, engine.die, engine.restart)


def _zone_goes(simulation: Simulation) -> None:
    """Let all engines of the last zone die, in both deployments a whole region's."""
    records = simulation.records
    zone = next(reversed(records.values())).availability_zone
    engines = [
        simulation.engines[name]
        for name, record in records.items()
        if record.availability_zone == zone
    ]
    for engine in engines:
        _at_failure(simulation, engine.die, engine.restart)


def _link_cut(simulation: Simulation) -> None:
    """Cut the first region off the others."""
    region = simulation.deployment.engines[0][0]
    _at_failure(
        simulation,
        lambda: simulation.cut_regions.add(region),
        lambda: simulation.cut_regions.discard(region),
    )


def _reports_freeze(simulation: Simulation) -> None:
    """Stop the load reports."""

    def set_frozen(frozen: bool) -> None:
        simulation.reports_frozen = frozen

    _at_failure(simulation, lambda: set_frozen(True), lambda: set_frozen(False))


def _cache_events_stop(simulation: Simulation) -> None:
    """Stop the cache events."""

    def set_cut(cut: bool) -> None:
        simulation.cache_events_cut = cut

    _at_failure(simulation, lambda: set_cut(True), lambda: set_cut(False))


FAILURES: dict[str, Callable[[Simulation], None]] = {
    "none": _no_failure,
    "engine-dies": _engine_dies,
    "zone-goes": _zone_goes,
    "link-cut": _link_cut,
    "reports-freeze": _reports_freeze,
    "cache-events-stop": _cache_events_stop,
}
