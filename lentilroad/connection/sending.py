"""Send small messages of a server stream as single HTTP/2 frames.

grpclib and h2 take about 45 us to send a message, mostly for cases that do not occur
here: several frames, closed windows, listeners. A message that fits into one frame
and into the flow-control windows is written directly as that frame; any other message
is sent by grpclib. This module accesses private fields of both libraries, whose
versions are pinned in requirements.lock.
"""

from __future__ import annotations

import struct
from typing import Any

from grpclib.protocol import Stream as RawStream
from grpclib.server import Stream

_FRAME_HEADER = struct.Struct(">BHBBI")
_MESSAGE_HEADER = struct.Struct(">BI")
_DATA_FRAME = 0
# Smallest frame size that a peer may announce.
_FRAME_LIMIT_BYTES = 2**14


async def send_reply(stream: Stream, reply: Any) -> None:
    """Send one reply of a server stream."""
    if not stream._send_initial_metadata_done:
        await stream.send_message(reply)
        return
    body = stream._codec.encode(reply, stream._send_type)
    message = _MESSAGE_HEADER.pack(0, len(body)) + body
    if not _send_frame(stream._stream, message):
        await stream._stream.send_data(message)


def _send_frame(stream: RawStream, message: bytes) -> bool:
    """Write a message as one frame; return False if that is not possible now."""
    size = len(message)
    if size > _FRAME_LIMIT_BYTES or not stream.connection.write_ready.is_set():
        return False
    connection = stream._h2_connection
    h2_stream = connection.streams.get(stream.id)
    if h2_stream is None or h2_stream.closed:
        return False
    if size > min(
        connection.outbound_flow_control_window,
        h2_stream.outbound_flow_control_window,
    ):
        return False
    connection.outbound_flow_control_window -= size
    h2_stream.outbound_flow_control_window -= size
    header = _FRAME_HEADER.pack(0, size, _DATA_FRAME, 0, stream.id)
    # Frames that h2 has already queued are written first.
    stream._transport.write(connection.data_to_send() + header + message)
    return True
