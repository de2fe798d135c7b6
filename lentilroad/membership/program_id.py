"""Program ids, which encode the home region and the shard."""

from __future__ import annotations

import re
from random import Random

from lentilroad.errors import InvalidRequestError

_RANDOM_BITS = 80
_PROGRAM_ID = re.compile(r"p-([A-Za-z0-9][A-Za-z0-9_.-]*)-([0-9a-f]{4})-([0-9a-f]{20})")
_SHARD = re.compile(r"([A-Za-z0-9][A-Za-z0-9_.-]*)/([0-9a-f]{4})")


def shard_name(region: str, index: int) -> str:
    """Return the name of a region's shard, ``<region>/<4 hex digits>``."""
    return f"{region}/{index:04x}"


def parse_shard(shard: str) -> tuple[str, int]:
    """Return the region and the index of a shard.

    Raises
    ------
    InvalidRequestError
        The name is not of the form ``<region>/<4 hex digits>``.
    """
    match = _SHARD.fullmatch(shard)
    if match is None:
        raise InvalidRequestError(
            f"{shard!r} is not a shard; use <region>/<4 hex digits>"
        )
    return match[1], int(match[2], 16)


def new_program_id(region: str, shard: str, random: Random) -> str:
    """Return a new program id.

    Parameters
    ----------
    region : str
        Home region of the program.
    shard : str
        Shard of that region, ``<region>/<4 hex digits>``.
    random : random.Random
        Source of the random part of 80 bits.

    Raises
    ------
    InvalidRequestError
        The shard belongs to another region.
    """
    shard_region, index = parse_shard(shard)
    if shard_region != region:
        raise InvalidRequestError(
            f"shard {shard} is not in region {region}; choose one of that region"
        )
    return f"p-{region}-{index:04x}-{random.getrandbits(_RANDOM_BITS):020x}"


def shard_of(program_id: str) -> str:
    """Return the shard of a program, ``<region>/<4 hex digits>``.

    Raises
    ------
    InvalidRequestError
        The text is not a program id.
    """
    match = _match(program_id)
    return f"{match[1]}/{match[2]}"


def region_of(program_id: str) -> str:
    """Return the home region of a program; see `shard_of`."""
    return _match(program_id)[1]


def _match(program_id: str) -> re.Match[str]:
    match = _PROGRAM_ID.fullmatch(program_id)
    if match is None:
        raise InvalidRequestError(
            f"{program_id!r} is not a program id; use the one that opening a program "
            "returned"
        )
    return match
