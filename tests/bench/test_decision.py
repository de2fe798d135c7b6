"""Guard against a decision whose cost grows with the fleet."""

from __future__ import annotations

from unittest import mock

from lentilroad.bench.decision import fleet_router
from lentilroad.request import routing
from lentilroad.request.routing import CallShape


def estimates_of(workers):
    """Return how many candidates one decision estimates."""
    router = fleet_router(workers=workers)
    router.prefixes.record("p", address="10.0.0.1:0", tokens=4000)
    call = CallShape(
        caller_id="a", region="r0", availability_zone="r0-a", prompt_tokens=6000
    )
    with mock.patch.object(routing, "estimate_s", wraps=routing.estimate_s) as counted:
        router.choose(name="model0", call=call, prefix_keys=("p",))
    return counted.call_count


def test_number_of_estimates_does_not_depend_on_the_fleet():
    """A decision over 3,900 workers must cost what one over 400 costs."""
    assert 1 <= estimates_of(3900) <= 5
    assert estimates_of(39_000) <= 5
