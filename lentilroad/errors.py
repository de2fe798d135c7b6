"""Typed errors with a stable code, an outcome and a remedy."""

from __future__ import annotations

from typing import ClassVar, Literal

Outcome = Literal["not_run", "ran", "unknown"]


class LentilroadError(Exception):
    """Base of all errors that reach a caller or an operator.

    Parameters
    ----------
    message : str
        What happened and what to do about it.
    outcome : {"not_run", "ran", "unknown"}, optional
        Whether the request ran. The class default applies when omitted.
    retry_after_ms : int, optional
        Delay before a retry, in milliseconds. None means that a retry cannot succeed.
    """

    code: ClassVar[str] = "internal"
    http_status: ClassVar[int] = 500
    default_outcome: ClassVar[Outcome] = "not_run"

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome | None = None,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.outcome: Outcome = outcome or self.default_outcome
        self.retry_after_ms = retry_after_ms


class InvalidRequestError(LentilroadError):
    """The request does not match its schema."""

    code = "invalid_request"
    http_status = 400


class UnauthenticatedError(LentilroadError):
    """The key is missing or unknown."""

    code = "unauthenticated"
    http_status = 401


class NotFoundError(LentilroadError):
    """The model, service or program does not exist for this caller."""

    code = "not_found"
    http_status = 404


class ConflictError(LentilroadError):
    """The request conflicts with a newer state."""

    code = "conflict"
    http_status = 409


class ProgramEndedError(LentilroadError):
    """The program has ended or was cancelled."""

    code = "program_ended"
    http_status = 409


class RequestTooLargeError(LentilroadError):
    """The request exceeds a size limit."""

    code = "request_too_large"
    http_status = 413


class BudgetExhaustedError(LentilroadError):
    """The program's budget does not cover the worst case of the call."""

    code = "budget_exhausted"
    http_status = 402


class DeadlineExceededError(LentilroadError):
    """The deadline passed before the call was finished."""

    code = "deadline_exceeded"
    http_status = 504


class RateLimitedError(LentilroadError):
    """The caller exceeded one of its limits."""

    code = "rate_limited"
    http_status = 429


class OverloadedError(LentilroadError):
    """No upstream has capacity to run the call in time."""

    code = "overloaded"
    http_status = 503


class UnavailableError(LentilroadError):
    """A process or an outside system cannot be reached."""

    code = "unavailable"
    http_status = 503


class RegionUnreachableError(LentilroadError):
    """The program's home region cannot be reached."""

    code = "region_unreachable"
    http_status = 503


class NotOwnerError(LentilroadError):
    """The called entry does not own the program's shard; look up the owner again."""

    code = "not_owner"
    http_status = 503


class StaleEpochError(LentilroadError):
    """A higher epoch or fencing number is known; stop acting as the owner."""

    code = "stale_epoch"
    http_status = 409


class OutcomeUnknownError(LentilroadError):
    """The call may have run and is therefore not retried."""

    code = "outcome_unknown"
    http_status = 502
    default_outcome = "unknown"


class UpstreamError(LentilroadError):
    """The upstream answered with an error."""

    code = "upstream_error"
    http_status = 502
    default_outcome = "ran"


class ConfigurationError(LentilroadError):
    """Settings or the operators' configuration are not valid."""

    code = "invalid_configuration"
    http_status = 400


def _subclasses(root: type[LentilroadError]) -> list[type[LentilroadError]]:
    found = [root]
    for child in root.__subclasses__():
        found.extend(_subclasses(child))
    return found


def error_class(code: str) -> type[LentilroadError]:
    """Return the error class with the given code.

    Parameters
    ----------
    code : str
        Stable error code.

    Returns
    -------
    type[LentilroadError]
        The class, or `LentilroadError` for an unknown code.
    """
    for candidate in _subclasses(LentilroadError):
        if candidate.code == code:
            return candidate
    return LentilroadError
