"""Decoding of bytes that another program wrote."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from functools import lru_cache
from typing import Annotated, TypeVar

import msgspec

from lentilroad.errors import LentilroadError
from lentilroad.process.events import log_event

T = TypeVar("T")

# What decoders raise for bytes of any kind: deep nesting and long numbers are not
# reported as errors of msgspec.
DECODING_ERRORS = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
MAX_PORT = 65535

# Numbers that fit into every message between processes.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class UnreadableError(LentilroadError):
    """The bytes do not encode a value of the expected type."""

    code = "unreadable"
    http_status = 502
    default_outcome = "unknown"


def decode_json(content: bytes | str, expected: type[T], *, strict: bool = True) -> T:
    """Decode JSON that another program wrote.

    Parameters
    ----------
    content : bytes or str
        Encoded value.
    expected : type
        Type of the value, for `msgspec`.
    strict : bool
        Whether numbers in strings are errors.

    Raises
    ------
    UnreadableError
        The content is not JSON, has another type, or is nested too deeply.
    """
    try:
        return msgspec.json.decode(content, type=expected, strict=strict)
    except DECODING_ERRORS as error:
        raise _unreadable(error) from error


def decode_json_items(
    encoded_items: Iterable[msgspec.Raw], expected: type[T], *, event: str
) -> list[T]:
    """Decode the items of a list; one that is invalid hides no other.

    Parameters
    ----------
    encoded_items : iterable of msgspec.Raw
        Items as received.
    expected : type
        Type of each item, for `msgspec`.
    event : str
        Name of the log line for an item that is left out.
    """
    items = []
    for encoded in encoded_items:
        try:
            items.append(decode_json(bytes(encoded), expected))
        except UnreadableError as error:
            log_event(event, error=str(error))
    return items


def decode_message_pack(content: bytes, expected: type[T]) -> T:
    """Decode MessagePack that another process wrote; errors as in `decode_json`."""
    try:
        return _message_pack_decoder(expected).decode(content)
    except DECODING_ERRORS as error:
        raise _unreadable(error) from error


def is_socket_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, "ip:port"."""
    host, _, port = text.partition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 1 <= int(port) <= MAX_PORT


@lru_cache(maxsize=256)
def _message_pack_decoder(expected: type[T]) -> msgspec.msgpack.Decoder[T]:
    return msgspec.msgpack.Decoder(expected)


def _unreadable(error: BaseException) -> UnreadableError:
    return UnreadableError(
        f"the content cannot be decoded ({str(error) or type(error).__name__}); "
        "write a corrected value, or use the same release on both sides"
    )
