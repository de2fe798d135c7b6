"""MessagePack codec for grpclib."""

from __future__ import annotations

from functools import lru_cache
from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

_ENCODER = msgspec.msgpack.Encoder()


@lru_cache(maxsize=256)
def _decoder(message_type: type) -> msgspec.msgpack.Decoder:
    return msgspec.msgpack.Decoder(message_type)


class MessagePackCodec(CodecBase):
    """Encode `msgspec.Struct` messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of the given type."""
        return _decoder(message_type).decode(data)
