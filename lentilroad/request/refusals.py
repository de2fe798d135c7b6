"""What callers are told when a request is not served."""

from __future__ import annotations

from lentilroad.errors import (
    BudgetExhaustedError,
    DeadlineExceededError,
    InvalidRequestError,
    LentilroadError,
    NotFoundError,
    RequestTooLargeError,
    UpstreamError,
)


class RequestTimeoutError(LentilroadError):
    """The caller did not send its whole request in time."""

    code = "request_timeout"
    http_status = 408


def outcome_unknown(service: str, error: LentilroadError) -> LentilroadError:
    """Return an error that does not deny the earlier sends of the request."""
    if error.outcome != "not_run":
        return error
    return UpstreamError(
        f"{service} did not answer, and no other instance can take the "
        f"request ({error.message})",
        outcome="unknown",
    )


def refusal_status(error: LentilroadError) -> int:
    """Return the status that an error is answered with."""
    if isinstance(error, BudgetExhaustedError):
        return 402
    if isinstance(
        error,
        (
            NotFoundError,
            InvalidRequestError,
            RequestTooLargeError,
            RequestTimeoutError,
        ),
    ):
        return error.http_status
    # 503 promises that the request has not run and never will.
    if error.outcome == "not_run":
        return 503
    return 504 if isinstance(error, DeadlineExceededError) else 502
