"""Tests of program ids, which determine the owner of a program."""

from __future__ import annotations

from random import Random

import pytest

from lentilroad.errors import InvalidRequestError
from lentilroad.membership.program_id import new_program_id, region_of, shard_of


@pytest.mark.parametrize("region", ["dakar", "saint-louis", "r1"])
def test_id_encodes_region_and_shard(region):
    """Guard against a region with a hyphen that breaks the parsing of the shard."""
    program_id = new_program_id(region, f"{region}/00ff", Random(1))
    assert region_of(program_id) == region
    assert shard_of(program_id) == f"{region}/00ff"


@pytest.mark.parametrize("text", ["", "p-dakar-00ff", "p-dakar-00zz-" + "0" * 20])
def test_malformed_id_is_refused(text):
    """Guard against a mistyped id that is routed to an arbitrary shard."""
    with pytest.raises(InvalidRequestError):
        shard_of(text)


def test_shard_of_another_region_is_refused():
    """Guard against an id with a region that does not own the shard."""
    with pytest.raises(InvalidRequestError):
        new_program_id("dakar", "thies/0000", Random(1))
