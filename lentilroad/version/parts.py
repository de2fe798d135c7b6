"""Encoding of a configuration as immutable, content-addressed parts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

import msgspec
import xxhash

from lentilroad.errors import ConfigurationError
from lentilroad.version.const import (
    DIGEST_BYTES,
    LINES_PER_TEXT_PART,
    PART_TARGET_BYTES,
    PARTS_PER_SECTION_MAX,
    VALUE_MAX_BYTES,
)
from lentilroad.version.model import Configuration, Head
from lentilroad.wire.untrusted import DECODING_ERRORS

_SECTIONS = ("regions", "models", "adapters", "services", "callers")
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")
_HEAD_DECODER = msgspec.json.Decoder(Head)


class Part(msgspec.Struct, kw_only=True, frozen=True):
    """A subset of the items of one section of a configuration."""

    section: str
    entries: dict[str, Any]


_PART_DECODER = msgspec.msgpack.Decoder(Part)


def digest_of(value: bytes) -> str:
    """Return the digest under which a part is stored."""
    return hashlib.blake2b(value, digest_size=DIGEST_BYTES).hexdigest()


def encode_head(head: Head) -> bytes:
    """Encode a head as JSON, which operators can read in the key-value service."""
    return msgspec.json.encode(head)


def decode_head(value: bytes) -> Head:
    """Decode a head.

    Raises
    ------
    ConfigurationError
        The value is not a valid head.
    """
    try:
        return _HEAD_DECODER.decode(value)
    except DECODING_ERRORS as error:
        raise ConfigurationError(
            "the configuration head cannot be read; apply the configuration again"
        ) from error


def split_configuration(configuration: Configuration) -> dict[str, bytes]:
    """Encode a configuration as parts by digest, in a stable order.

    A section above the target size is partitioned by a hash of the item's name, so
    that a change of one item changes only one part.
    """
    plain = msgspec.to_builtins(configuration)
    parts = [_encode("general", plain["general"])]
    for section in _SECTIONS:
        parts += _split_section(section, plain[section])
    return {digest_of(part): part for part in parts}


def _encode(section: str, entries: dict[str, Any]) -> bytes:
    return _ENCODER.encode(Part(section=section, entries=entries))


def _split_section(section: str, entries: dict[str, Any]) -> list[bytes]:
    if not entries:
        return []
    size_bytes = len(_encode(section, entries))
    bucket_count = 1
    while (
        size_bytes / bucket_count > PART_TARGET_BYTES
        and bucket_count < PARTS_PER_SECTION_MAX
    ):
        bucket_count *= 2
    buckets: dict[int, dict[str, Any]] = {}
    for name, value in entries.items():
        bucket = xxhash.xxh64_intdigest(name.encode()) % bucket_count
        buckets.setdefault(bucket, {})[name] = value
    parts = [_encode(section, buckets[bucket]) for bucket in sorted(buckets)]
    for part in parts:
        if len(part) > VALUE_MAX_BYTES:
            raise ConfigurationError(
                f"an item of {section} exceeds {VALUE_MAX_BYTES} bytes; split the item"
            )
    return parts


def join_configuration(parts: Iterable[bytes]) -> Configuration:
    """Build the typed configuration from its parts.

    Raises
    ------
    ConfigurationError
        The parts do not form a valid configuration.
    """
    sections: dict[str, dict[str, Any]] = {}
    try:
        for value in parts:
            part = _PART_DECODER.decode(value)
            sections.setdefault(part.section, {}).update(part.entries)
        return msgspec.convert(sections, Configuration)
    except DECODING_ERRORS as error:
        raise ConfigurationError(
            "the parts of the configuration do not match this release of lentilroad; "
            "update this process or apply the configuration with this release"
        ) from error


def split_text(text: str) -> list[bytes]:
    """Split the operator's text at line ends into parts, in text order."""
    parts: list[bytes] = []
    current = bytearray()
    lines = text.splitlines(keepends=True)
    # Only doubles, so that a small edit rarely changes the split.
    lines_per_part = LINES_PER_TEXT_PART
    while len(lines) / lines_per_part > PARTS_PER_SECTION_MAX:
        lines_per_part *= 2
    for line in lines:
        encoded = line.encode()
        # Boundaries depend on the content, so an insertion does not move later ones.
        is_boundary = xxhash.xxh32_intdigest(encoded) % lines_per_part == 0
        if current and (is_boundary or len(current) + len(encoded) > VALUE_MAX_BYTES):
            parts.append(bytes(current))
            current.clear()
        current += encoded
    if current:
        parts.append(bytes(current))
    return parts
