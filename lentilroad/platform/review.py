"""Review of an operators' configuration before it is written to the store."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from lentilroad.errors import ConfigurationError
from lentilroad.platform.configuration import decode_configuration
from lentilroad.platform.customers import review_customers
from lentilroad.wire.untrusted import UnreadableError, decode_json

# A customer's sustained rate that its programs can hardly use: one request of a turn
# and its tools would already be refused.
MIN_USEFUL_RATE_PER_S = 1.0

# Other fields of a customer, such as a misspelt ApiKeys, may hold keys.
_SHOWN_CUSTOMER_FIELDS = frozenset(("Priority", "RatePerS", "Burst"))


class Severity(Enum):
    """Whether a finding should keep the operator from writing the configuration."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


@dataclass(slots=True, kw_only=True, frozen=True)
class Finding:
    """One result of a review.

    Attributes
    ----------
    where : str
        Path of the field, such as ``Routes[r-1].Prefix``.
    text : str
        What was found and, unless it is a change, what to write instead.
    """

    severity: Severity
    where: str
    text: str

    def line(self) -> str:
        """Return the finding as one line of text.

        Names in the configuration may contain line feeds and control characters.
        """
        line = f"{self.severity.value}: {self.where}: {self.text}"
        return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in line)


def review_configuration(
    content: bytes, in_force: bytes | None = None
) -> list[Finding]:
    """Return errors, entries without effect, contradictions and changes.

    Parameters
    ----------
    content : bytes
        The configuration to write, as JSON.
    in_force : bytes, optional
        The configuration in force, with which it is compared.

    Returns
    -------
    list of Finding
        Errors first, then warnings, then changes. No finding contains a key.
    """
    try:
        decode_configuration(content)
        document = decode_json(content, dict[str, Any])
    except (ConfigurationError, UnreadableError) as error:
        return [_error("configuration", str(error))]
    findings = [
        *_review_routes(document),
        *_review_limits(document),
        *_review_customers(document),
    ]
    if in_force is not None:
        findings += _compare(document, in_force)
    order = list(Severity)
    return sorted(findings, key=lambda finding: order.index(finding.severity))


def _error(where: str, text: str) -> Finding:
    return Finding(severity=Severity.ERROR, where=where, text=text)


def _warning(where: str, text: str) -> Finding:
    return Finding(severity=Severity.WARNING, where=where, text=text)


def _change(where: str, text: str) -> Finding:
    return Finding(severity=Severity.CHANGE, where=where, text=text)


def _review_routes(document: dict[str, Any]) -> Iterator[Finding]:
    services = {service["Name"]: service for service in document.get("Services", [])}
    if len(services) < len(document.get("Services", [])):
        yield _error("Services", "a name appears twice; only its last entry counts")
    names: set[str] = set()
    owners: dict[tuple[str, str], str] = {}
    used: set[str] = set()
    for route in document.get("Routes", []):
        where = f"Routes[{route['Name']}]"
        if route["Name"] in names:
            yield _error(f"{where}.Name", "another route has this name; rename one")
        names.add(route["Name"])
        address = (route["Host"].lower(), route["Prefix"])
        if address in owners:
            yield _error(
                where,
                f"never matches or hides {owners[address]}, which has the same Host "
                "and Prefix; remove one of them",
            )
        owners[address] = route["Name"]
        prefix = route["Prefix"]
        if not prefix.startswith("/") or not prefix.endswith("/"):
            yield _error(
                f"{where}.Prefix",
                f"{prefix!r} can never match; begin and end it with a slash",
            )
        yield from _review_services(route, where, services, used)
        yield from _review_route_limits(route, where)
    for name in services.keys() - used:
        yield _warning(f"Services[{name}]", "no route names it; remove it or route it")


def _review_services(
    route: dict[str, Any], where: str, services: dict[str, Any], used: set[str]
) -> Iterator[Finding]:
    if route.get("Service") is not None:
        weights = {route["Service"]: 1}
        if route.get("TrafficSplit"):
            yield _warning(
                f"{where}.TrafficSplit",
                "has no effect beside Service; keep one of them",
            )
    else:
        weights = {
            split["Service"]: split.get("Weight", 1)
            for split in route.get("TrafficSplit") or []
        }
    if not weights:
        yield _error(where, "has no service; add Service or TrafficSplit")
    for name, weight in weights.items():
        used.add(name)
        if name not in services:
            yield _error(where, f"names the service {name}, which is not listed")
        if not weight:
            yield _warning(
                f"{where}.TrafficSplit[{name}]",
                "never gets a request with weight 0; raise the weight or remove it",
            )


def _review_route_limits(route: dict[str, Any], where: str) -> Iterator[Finding]:
    kind = route.get("Kind", "idempotent")
    timeout_ms = float(route.get("TimeoutMs", 30000))
    if timeout_ms < float(route.get("TargetLatencyMs", 1000)):
        yield _error(
            f"{where}.TimeoutMs",
            "is below TargetLatencyMs, so that requests end before they are late; "
            "raise it or lower the target",
        )
    streams = kind == "streaming"
    if streams and float(route.get("GapAimMs", 0)) > timeout_ms:
        yield _error(f"{where}.GapAimMs", "is above TimeoutMs; lower it")
    if route.get("RetainConversation") and float(route.get("RetentionS", 0)) <= 0:
        yield _error(
            f"{where}.RetentionS",
            "is 0, so that RetainConversation keeps nothing; write the seconds to keep",
        )
    if not streams:
        for field in ("RetainConversation", "AllowResume"):
            if route.get(field):
                yield _warning(
                    f"{where}.{field}", f"has no effect on {kind} routes; remove it"
                )
    repeatable = route.get("AllowResume") if streams else kind == "idempotent"
    if float(route.get("Attempts", 1)) > 1 and not repeatable:
        yield _warning(
            f"{where}.Attempts",
            "has no effect, since these requests run at most once; write 1",
        )


def _review_limits(document: dict[str, Any]) -> Iterator[Finding]:
    limits = document.get("Limits") or {}
    header_ms = float(limits.get("HeaderTimeoutMs", 3000))
    idle_ms = float(limits.get("IdleTimeoutMs", 15000))
    if idle_ms < header_ms:
        yield _warning(
            "Limits.IdleTimeoutMs",
            "is below HeaderTimeoutMs, so that a connection may end while its caller "
            "may still send a head; raise it",
        )
    for field in ("MaxHeaderBytes", "HeaderTimeoutMs", "IdleTimeoutMs"):
        if field in limits and float(limits[field]) == 0:
            yield _error(f"Limits.{field}", "is 0, which refuses every request")


def _review_customers(document: dict[str, Any]) -> Iterator[Finding]:
    tenants = document.get("Tenants")
    open_routes = [r["Name"] for r in document.get("Routes", []) if _is_open(r)]
    if tenants is None:
        for name in open_routes:
            yield _warning(
                f"Routes[{name}].AllowAnonymous",
                "has no effect without Tenants; remove it or list the tenants",
            )
        return
    if not tenants and len(open_routes) < len(document.get("Routes", [])):
        yield _error(
            "Tenants",
            "is empty, so that no key is valid; add tenants, or remove the field to "
            "serve requests without keys",
        )
    encoded = [msgspec.Raw(msgspec.json.encode(tenant)) for tenant in tenants]
    for name, fault in review_customers(encoded):
        yield _error(f"Tenants[{name}]", fault)
    for tenant in tenants:
        yield from _review_quota(tenant)


def _review_quota(tenant: Any) -> Iterator[Finding]:
    if not isinstance(tenant, dict):
        return
    where = f"Tenants[{tenant.get('Name')}]"
    rate_per_s, burst = tenant.get("RatePerS", 0), tenant.get("Burst", 0)
    if not isinstance(rate_per_s, (int, float)) or not isinstance(burst, (int, float)):
        return
    if not tenant.get("ApiKeys"):
        yield _warning(f"{where}.ApiKeys", "is empty, so that nobody can use it")
    if rate_per_s == 0 and burst > 0:
        yield _warning(
            f"{where}.Burst", "has no effect without RatePerS, which sets the limit"
        )
    if 0 < rate_per_s < MIN_USEFUL_RATE_PER_S and burst < 1:
        yield _warning(
            f"{where}.Burst", "is below 1 at this rate; most requests get 429"
        )


def _is_open(route: dict[str, Any]) -> bool:
    return bool(route.get("AllowAnonymous"))


def _compare(document: dict[str, Any], in_force: bytes) -> Iterator[Finding]:
    try:
        decode_configuration(in_force)
        before = decode_json(in_force, dict[str, Any])
    except (ConfigurationError, UnreadableError) as error:
        yield _error("configuration in force", str(error))
        return
    if document["Version"] <= before["Version"]:
        yield _error(
            "Version",
            f"{document['Version']} is not above {before['Version']}, which is in "
            "force; entries ignore it",
        )
    for section in ("Routes", "Services", "Tenants"):
        yield from _compare_named(
            section, _by_name(before.get(section)), _by_name(document.get(section))
        )
    yield from _compare_fields(
        "Limits", before.get("Limits") or {}, document.get("Limits") or {}
    )


def _by_name(entries: Any) -> dict[str, dict[str, Any]]:
    return {
        str(entry.get("Name")): entry
        for entry in entries or []
        if isinstance(entry, dict)
    }


def _compare_named(
    section: str, before: dict[str, dict[str, Any]], after: dict[str, dict[str, Any]]
) -> Iterator[Finding]:
    for name in sorted(before.keys() - after.keys()):
        yield _change(f"{section}[{name}]", "is removed")
    for name in sorted(after.keys() - before.keys()):
        yield _change(f"{section}[{name}]", "is added")
    for name in sorted(before.keys() & after.keys()):
        yield from _compare_fields(f"{section}[{name}]", before[name], after[name])


def _compare_fields(
    where: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Finding]:
    for field in sorted(before.keys() | after.keys()):
        old, new = before.get(field), after.get(field)
        if old == new:
            continue
        if field == "ApiKeys":
            yield _change(f"{where}.{field}", _key_changes(old, new))
            continue
        if where.startswith("Tenants[") and field not in _SHOWN_CUSTOMER_FIELDS:
            yield _change(f"{where}.{field}", "changes; its values may be keys")
            continue
        yield _change(f"{where}.{field}", f"{_shown(old)} becomes {_shown(new)}")


def _key_changes(before: Any, after: Any) -> str:
    """Return how many keys change, without the keys."""
    old, new = _key_set(before), _key_set(after)
    return f"{len(new - old)} keys added, {len(old - new)} taken away"


def _key_set(keys: Any) -> set[str]:
    return {str(key) for key in keys} if isinstance(keys, list) else set()


def _shown(value: Any) -> str:
    return "nothing" if value is None else msgspec.json.encode(value).decode()
