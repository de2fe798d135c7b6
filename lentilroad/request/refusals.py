"""Errors and statuses of requests that are not served."""

from __future__ import annotations

from lentilroad.errors import (
    BudgetExhaustedError,
    DeadlineExceededError,
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    RateLimitedError,
    RequestTooLargeError,
    UnauthenticatedError,
    UpstreamError,
)
from lentilroad.request.const import SERVICE_RETRY_AFTER_MIN_S


class RequestTimeoutError(LentilroadError):
    """The caller did not send the complete request in time."""

    code = "request_timeout"
    http_status = 408


class StoppingError(LentilroadError):
    """The process ends before the request could be served."""

    code = "entry_stopping"
    http_status = 503

    @classmethod
    def for_service(cls, service: str) -> StoppingError:
        """Return the error of a request that waited for a service."""
        return cls(
            f"this entry stops before {service} could complete the request; send it "
            "to another entry",
            retry_after_ms=int(1000 * SERVICE_RETRY_AFTER_MIN_S),
        )


def with_unknown_outcome(service: str, error: LentilroadError) -> LentilroadError:
    """Return the error with an outcome that accounts for earlier sends.

    An error of the last attempt may state that the request has not run, although an
    earlier attempt may have run it.
    """
    if error.outcome != "not_run":
        return error
    return UpstreamError(
        f"{service} did not respond, and no other instance can accept the "
        f"request ({error.message})",
        outcome="unknown",
    )


def refusal_status(error: LentilroadError) -> int:
    """Return the HTTP status of the response to a failed request."""
    if isinstance(error, BudgetExhaustedError):
        return 402
    if isinstance(
        error,
        (
            NotFoundError,
            InvalidRequestError,
            UnauthenticatedError,
            RateLimitedError,
            RequestTooLargeError,
            RequestTimeoutError,
        ),
    ):
        return error.http_status
    # Status 503 guarantees that the request has not run and never will.
    if error.outcome == "not_run":
        return 503
    return 504 if isinstance(error, DeadlineExceededError) else 502
