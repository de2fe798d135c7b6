"""MessagePack codec for grpclib."""

from __future__ import annotations

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from lentilroad.wire.untrusted import decode_message_pack

_ENCODER = msgspec.msgpack.Encoder()


class MessagePackCodec(CodecBase):
    """Encode `msgspec.Struct` messages as MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of the given type; raise `UnreadableError` if invalid."""
        return decode_message_pack(data, message_type)
