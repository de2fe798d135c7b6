"""HTTP routes for operators to read and change the configuration."""

from __future__ import annotations

import hashlib
import hmac
import json
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import eliot
import msgspec
from aiohttp import web

from lentilroad.errors import (
    InvalidRequestError,
    LentilroadError,
    UnauthenticatedError,
)
from lentilroad.version.conflict import ConfigurationConflictError
from lentilroad.version.const import (
    HISTORY_DEFAULT_COUNT,
    HISTORY_MAX_COUNT,
    MAX_BEHIND_SHOWN,
    REQUEST_MAX_BYTES,
)
from lentilroad.version.diff import diff_configurations
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.model import Head
from lentilroad.version.records import AppliedChange
from lentilroad.version.store import ConfigurationStore
from lentilroad.version.text import InvalidTextError, compile_text
from lentilroad.wire.untrusted import DECODING_ERRORS

PREFIX = "/operator/v1/configuration"
CheckOperatorKey = Callable[[str], str | bool | None]
ReportedVersions = Callable[[], Mapping[str, int]]
Handler = Callable[[web.Request], Awaitable[web.Response]]


class _ApplyBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    text: str
    author: str
    based_on_version: int
    write_id: str | None = None


class _RollbackBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    version: int
    author: str
    based_on_version: int
    write_id: str | None = None


class _DiffBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    text: str


def operator_key_checker(key_sha256: Iterable[str]) -> CheckOperatorKey:
    """Return a function that checks an operator's key against SHA-256 hashes.

    The function returns the first digits of the hash, which are recorded with the
    author of a change, or None for an unknown key.
    """
    known_digests = [digest.lower() for digest in key_sha256]

    def check(key: str) -> str | None:
        digest = hashlib.sha256(key.encode()).hexdigest()
        # Compare with every hash, so that the duration does not reveal a match.
        matches = [hmac.compare_digest(digest, known) for known in known_digests]
        return digest[:8] if any(matches) else None

    return check


def add_routes(
    app: web.Application,
    store: ConfigurationStore,
    distribution: ConfigurationDistributor,
    check_operator_key: CheckOperatorKey,
    *,
    reported_versions: ReportedVersions | None = None,
) -> None:
    """Add the configuration routes to an entry's application.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application of the entry.
    store : ConfigurationStore
        Store that validates and writes changes.
    distribution : ConfigurationDistributor
        Distributor of this process.
    check_operator_key : Callable
        Returns a true value for a valid bearer key; a string is recorded with the
        author of a change.
    reported_versions : Callable, optional
        Returns the version that each process reports, by address. If absent, the
        progress covers only this process.
    """

    def own_version() -> Mapping[str, int]:
        return {"this process": distribution.version}

    routes = _Routes(
        store=store,
        distribution=distribution,
        reported_versions=reported_versions or own_version,
    )

    def guarded(handler: Callable[[web.Request, str], Awaitable[Any]]) -> Handler:
        async def handle(request: web.Request) -> web.Response:
            try:
                key_name = _authenticate(request, check_operator_key)
                return _json(await handler(request, key_name))
            except LentilroadError as error:
                return _error(error)

        return handle

    app.router.add_get(PREFIX, guarded(routes.read))
    app.router.add_post(PREFIX, guarded(routes.apply))
    app.router.add_get(PREFIX + "/history", guarded(routes.history))
    app.router.add_get(PREFIX + "/progress", guarded(routes.progress))
    app.router.add_post(PREFIX + "/diff", guarded(routes.diff))
    app.router.add_post(PREFIX + "/rollback", guarded(routes.rollback))


class _Routes:
    __slots__ = ("_distribution", "_reported_versions", "_store")

    def __init__(
        self,
        *,
        store: ConfigurationStore,
        distribution: ConfigurationDistributor,
        reported_versions: ReportedVersions,
    ) -> None:
        self._store = store
        self._distribution = distribution
        self._reported_versions = reported_versions

    async def read(self, request: web.Request, key_name: str) -> dict[str, Any]:
        version = _query_number(request, "version", 0)
        if version:
            head = await self._store.read_version(version)
        else:
            head = await self._store.read_head()
        if head is None:
            return {"version": 0, "text": ""}
        answer = _head(head)
        if request.query.get("text") != "no":
            answer["text"] = await self._store.read_text(head)
        return answer

    async def apply(self, request: web.Request, key_name: str) -> dict[str, Any]:
        body = await _body(request, _ApplyBody)
        applied = await self._store.apply(
            body.text,
            _audit_name(body.author, key_name),
            body.based_on_version,
            write_id=body.write_id,
        )
        return _applied(applied)

    async def rollback(self, request: web.Request, key_name: str) -> dict[str, Any]:
        body = await _body(request, _RollbackBody)
        applied = await self._store.rollback(
            body.version,
            _audit_name(body.author, key_name),
            body.based_on_version,
            write_id=body.write_id,
        )
        return _applied(applied)

    async def history(self, request: web.Request, key_name: str) -> dict[str, Any]:
        count = _query_number(request, "count", HISTORY_DEFAULT_COUNT)
        heads = await self._store.history(
            min(count, HISTORY_MAX_COUNT),
            before=_query_number(request, "before", 0) or None,
        )
        return {"versions": [_head(head) for head in heads]}

    async def diff(self, request: web.Request, key_name: str) -> dict[str, Any]:
        body = await _body(request, _DiffBody)
        proposed = compile_text(body.text)
        head = await self._store.read_head()
        before = await self._store.read_configuration(head) if head else None
        changes = diff_configurations(before, proposed)
        return {
            "version": head.version if head else 0,
            "changes": [str(change) for change in changes],
        }

    async def progress(self, request: web.Request, key_name: str) -> dict[str, Any]:
        version = _query_number(request, "version", self._distribution.version)
        reported = self._reported_versions()
        behind = sorted(
            address
            for address, reported_version in reported.items()
            if reported_version < version
        )
        return {
            "version": version,
            "processes": len(reported),
            "in_force": len(reported) - len(behind),
            "behind": behind[:MAX_BEHIND_SHOWN],
            "this_process": msgspec.to_builtins(self._distribution.status()),
        }


def _authenticate(request: web.Request, check: CheckOperatorKey) -> str:
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    key_name = check(key.strip()) if scheme.lower() == "bearer" and key else None
    if not key_name:
        raise UnauthenticatedError(
            "send an operator key as `Authorization: Bearer KEY`; its SHA-256 must be "
            "in operator_key_sha256 of the entry's settings"
        )
    return key_name if isinstance(key_name, str) else ""


def _audit_name(author: str, key_name: str) -> str:
    author = author.strip()
    if not author or len(author) > 200 or not author.isprintable():
        raise InvalidRequestError("author must have 1 to 200 printable characters")
    return f"{author} (key {key_name})" if key_name else author


async def _body(request: web.Request, kind: type) -> Any:
    try:
        value = await request.clone(client_max_size=REQUEST_MAX_BYTES).read()
        return msgspec.json.decode(value, type=kind)
    except DECODING_ERRORS as error:
        raise InvalidRequestError(
            f"invalid request body: {error}; see docs/configuration.md"
        ) from error


def _query_number(request: web.Request, name: str, default: int) -> int:
    value = request.query.get(name)
    if value is None:
        return default
    if not value.isascii() or not value.isdigit() or len(value) > 12:
        raise InvalidRequestError(f"{name} must be an integer of at most 12 digits")
    return int(value)


def _head(head: Head) -> dict[str, Any]:
    return {
        "version": head.version,
        "parent": head.parent,
        "author": head.author,
        "time_s": head.time_s,
        "write_id": head.write_id,
        "action": head.action,
        "restored": head.restored,
        "changes": head.changes,
    }


def _applied(applied: AppliedChange) -> dict[str, Any]:
    return {**_head(applied.head), "changed": applied.changed}


def _json(value: dict[str, Any], status: int = 200) -> web.Response:
    return web.json_response(value, status=status, dumps=json.dumps)


def _error(error: LentilroadError) -> web.Response:
    details: dict[str, Any] = {
        "code": error.code,
        "message": error.message,
        "outcome": error.outcome,
    }
    if isinstance(error, InvalidTextError):
        details["problems"] = [str(problem) for problem in error.problems]
    if isinstance(error, ConfigurationConflictError):
        details["current_version"] = error.current_version
        details["changes"] = error.changes
        details["overlapping"] = error.overlapping
    eliot.log_message(
        message_type="version:request_refused",
        code=error.code,
        outcome=error.outcome,
    )
    return _json({"error": details}, error.http_status)
