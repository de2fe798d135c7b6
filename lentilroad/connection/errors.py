"""Conversion between typed errors and gRPC errors."""

from __future__ import annotations

import msgspec
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from lentilroad.errors import LentilroadError, Outcome, UnavailableError
from lentilroad.wire.convert import from_wire_error, to_wire_error
from lentilroad.wire.messages import WireError
from lentilroad.wire.untrusted import UnreadableError, decode_json

_TYPED_ERROR_STATUS = Status.ABORTED


def to_grpc_error(error: LentilroadError) -> GRPCError:
    """Convert a typed error to a gRPC error with the typed error in its message."""
    text = msgspec.json.encode(to_wire_error(error)).decode()
    return GRPCError(_TYPED_ERROR_STATUS, text)


def from_exception(
    error: BaseException, *, address: str, request_sent: bool
) -> LentilroadError:
    """Convert an exception raised by a call to a typed error.

    Parameters
    ----------
    error : BaseException
        `GRPCError`, `StreamTerminatedError`, `OSError` or `TimeoutError`.
    address : str
        Address of the peer, "ip:port".
    request_sent : bool
        Whether the peer may have received the request.

    Returns
    -------
    LentilroadError
        The error that the peer raised, or `UnavailableError` with outcome
        ``not_run`` when the request was not sent and ``unknown`` otherwise.
    """
    if isinstance(error, GRPCError):
        return _from_grpc_error(error, address=address)
    outcome: Outcome = "unknown" if request_sent else "not_run"
    reason = f"{type(error).__name__}: {error}"
    return UnavailableError(
        f"no answer from {address} ({reason}); check its state and use another process",
        outcome=outcome,
    )


def _from_grpc_error(error: GRPCError, *, address: str) -> LentilroadError:
    if error.status is _TYPED_ERROR_STATUS and error.message:
        try:
            return from_wire_error(decode_json(error.message, WireError))
        except UnreadableError:
            pass
    if error.status is Status.UNIMPLEMENTED:
        return UnavailableError(
            f"{address} does not implement this method; upgrade it to a "
            "release that does",
            outcome="not_run",
        )
    return UnavailableError(
        f"{address} failed with status {error.status.name} ({error.message}); "
        "see its log",
        outcome="unknown",
    )
