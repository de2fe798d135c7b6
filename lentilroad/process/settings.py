"""YAML settings file of an entry or a sidecar."""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import voluptuous as vol

from lentilroad import yaml_values as v
from lentilroad.errors import ConfigurationError
from lentilroad.yaml_source import (
    Problem,
    RedactedInvalid,
    Source,
    check_schema,
    parse_yaml,
)


class Secret:
    """Secret text that is hidden in logs and reprs; `reveal` returns it."""

    __slots__ = ("_value",)

    def __init__(self, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        return "Secret(***)"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Secret) and other._value == self._value

    def __hash__(self) -> int:
        return hash(self._value)

    def reveal(self) -> str:
        """Return the secret text."""
        return self._value


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamSettings:
    """The upstream beside which a sidecar runs."""

    url: str
    kind: Literal["engine", "service"]
    upstream_id: str
    # Models of an engine, or names of services.
    names: list[str]
    bearer_key: Secret | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class KeyValueSettings:
    """Access to the platform's key-value service."""

    endpoints: list[str] = field(default_factory=list)
    prefix: str = "lentilroad/"
    username: str | None = None
    password: Secret | None = None
    timeout_s: float = 2.0


@dataclass(slots=True, kw_only=True, frozen=True)
class TlsSettings:
    """Files for mutual TLS between processes."""

    certificate_file: Path
    key_file: Path
    ca_file: Path


@dataclass(slots=True, kw_only=True, frozen=True)
class ObservabilitySettings:
    """Destinations of logs, metrics and traces.

    Without a file, logs go to standard error; metrics and traces without an address
    are off.
    """

    log_file: Path | None = None
    statsd_address: str | None = None
    trace_exporter_url: str | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class LimitSettings:
    """Limits of this process."""

    concurrent_streams: int = 5_000
    request_max_bytes: int = 8_000_000
    memory_max_bytes: int = 256_000_000
    drain_timeout_s: float = 600.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """Settings of one process."""

    role: Literal["entry", "sidecar"]
    address: str
    region: str
    availability_zone: str
    http_address: str | None = None
    data_folder: Path | None = None
    key_value: KeyValueSettings = field(default_factory=KeyValueSettings)
    seed_entries: list[str] = field(default_factory=list)
    instance_list_url: str | None = None
    upstream: UpstreamSettings | None = None
    tls: TlsSettings | None = None
    observability: ObservabilitySettings = field(default_factory=ObservabilitySettings)
    operator_key_sha256: list[str] = field(default_factory=list)
    limits: LimitSettings = field(default_factory=LimitSettings)


class SettingsError(ConfigurationError):
    """The settings are invalid; `problems` has all problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def _secret(value: Any) -> Secret:
    if not isinstance(value, Secret):
        raise RedactedInvalid("!secret_file PATH or !env NAME")
    return value


def _path(value: Any) -> Path:
    if not isinstance(value, str) or not value:
        raise vol.Invalid("a path")
    return Path(value)


_KEY_VALUE = {
    vol.Optional("endpoints"): v.list_of(v.url, minimum=1),
    vol.Optional("prefix"): v.text(),
    vol.Optional("username"): v.text(),
    vol.Optional("password"): _secret,
    vol.Optional("timeout_s"): v.number(0.01, 60),
}
_UPSTREAM = {
    vol.Required("url"): v.url,
    vol.Required("kind"): v.one_of("engine", "service"),
    vol.Required("upstream_id"): v.NAME,
    vol.Required("names"): v.list_of(v.NAME, minimum=1),
    vol.Optional("bearer_key"): _secret,
}
_TLS = {
    vol.Required("certificate_file"): _path,
    vol.Required("key_file"): _path,
    vol.Required("ca_file"): _path,
}
_OBSERVABILITY = {
    vol.Optional("log_file"): _path,
    vol.Optional("statsd_address"): v.address,
    vol.Optional("trace_exporter_url"): v.url,
}
_LIMITS = {
    vol.Optional("concurrent_streams"): v.integer(1, 1_000_000),
    vol.Optional("request_max_bytes"): v.integer(1024),
    vol.Optional("memory_max_bytes"): v.integer(32_000_000),
    vol.Optional("drain_timeout_s"): v.number(0),
}
_DOCUMENT = {
    vol.Required("role"): v.one_of("entry", "sidecar"),
    vol.Required("address"): v.address,
    vol.Required("region"): v.NAME,
    vol.Required("availability_zone"): v.NAME,
    vol.Optional("http_address"): v.address,
    vol.Optional("data_folder"): _path,
    vol.Optional("key_value"): _KEY_VALUE,
    vol.Optional("seed_entries"): v.list_of(v.address),
    vol.Optional("instance_list_url"): v.url,
    vol.Optional("upstream"): _UPSTREAM,
    vol.Optional("tls"): _TLS,
    vol.Optional("observability"): _OBSERVABILITY,
    vol.Optional("operator_key_sha256"): v.list_of(v.SHA256),
    vol.Optional("limits"): _LIMITS,
}
_SCHEMA = vol.Schema(_DOCUMENT)
_KNOWN_KEYS = v.known_keys(_DOCUMENT)
_SECTIONS: dict[str, Callable[..., Any]] = {
    "key_value": KeyValueSettings,
    "upstream": UpstreamSettings,
    "tls": TlsSettings,
    "observability": ObservabilitySettings,
    "limits": LimitSettings,
}


def load_settings(
    path: str | os.PathLike[str], *, environment: Mapping[str, str] | None = None
) -> Settings:
    """Read and check the settings file of one process.

    Parameters
    ----------
    path : path-like
        YAML file. Relative paths in the file are relative to its folder.
    environment : Mapping[str, str], optional
        Variables for ``!env NAME``; the process environment when omitted.

    Returns
    -------
    Settings
        Settings with defaults for all omitted keys.

    Raises
    ------
    SettingsError
        The file is invalid; the error has all problems, each with file, line, key
        path, found and expected value, and remedy.
    """
    file = Path(path)
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([_unreadable_file_problem(file, error)]) from error
    tags = _secret_tag_loaders(
        file.parent, os.environ if environment is None else environment
    )
    source, problems = parse_yaml(text, file=str(file), tags=tags)
    data = None
    if source.data is not None:
        data, schema_problems = check_schema(source, _SCHEMA, known_keys=_KNOWN_KEYS)
        # A secret that could not be read also fails the schema; report it only once.
        reported = {problem.key_path for problem in problems}
        problems += [p for p in schema_problems if p.key_path not in reported]
        problems += _cross_key_problems(source, file.parent)
    if data is None or problems:
        problems.sort(key=lambda problem: (problem.line, problem.key_path))
        raise SettingsError(problems)
    return _convert(data, file.parent)


def _unreadable_file_problem(file: Path, error: Exception) -> Problem:
    reason = getattr(error, "strerror", None) or "text that is not UTF-8"
    return Problem(
        file=str(file),
        line=0,
        key_path="",
        found=reason.lower() if reason.isascii() else reason,
        expected="a readable YAML file",
        remedy="check the path and its permissions",
    )


def _secret_tag_loaders(
    folder: Path, environment: Mapping[str, str]
) -> dict[str, Callable[[str], Secret]]:
    def from_file(name: str) -> Secret:
        try:
            value = (folder / name).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            raise ValueError(
                "a readable secret file", f"create {name} or correct the path"
            ) from error
        if not value:
            raise ValueError(
                "a secret file with content", f"write the secret to {name}"
            )
        return Secret(value)

    def from_environment(name: str) -> Secret:
        if not environment.get(name):
            raise ValueError(
                "a variable that is set", f"set {name} in the process environment"
            )
        return Secret(environment[name])

    return {"!secret_file": from_file, "!env": from_environment}


def _cross_key_problems(source: Source, folder: Path) -> list[Problem]:
    data = source.data
    if not isinstance(data, dict):
        return []
    problems = []
    if data.get("role") == "sidecar" and not data.get("upstream"):
        problems.append(
            source.problem(("upstream",), "no such key", "this key", "add the upstream")
        )
    if data.get("role") == "sidecar" and not data.get("seed_entries"):
        problems.append(
            source.problem(
                ("seed_entries",), "no such key", "at least one entry", "add addresses"
            )
        )
    if data.get("role") == "entry" and not data.get("http_address"):
        problems.append(
            source.problem(
                ("http_address",), "no such key", "this key", "add host:port"
            )
        )
    if data.get("role") == "entry" and data.get("upstream"):
        problems.append(
            source.problem(
                ("upstream",), "this key", "no such key with role entry", "remove it"
            )
        )
    tls = data.get("tls")
    for key in tls if isinstance(tls, dict) else ():
        name = tls[key]
        if isinstance(name, str) and not (folder / name).is_file():
            problems.append(
                source.problem(("tls", key), f"no file {name}", "a file", "create it")
            )
    return problems


def _convert(data: dict[str, Any], folder: Path) -> Settings:
    values: dict[str, Any] = {}
    for key, value in data.items():
        if key in _SECTIONS:
            section = {k: _absolute(folder, item) for k, item in value.items()}
            values[key] = _SECTIONS[key](**section)
        else:
            values[key] = _absolute(folder, value)
    return Settings(**values)


def _absolute(folder: Path, value: Any) -> Any:
    return folder / value if isinstance(value, Path) else value
