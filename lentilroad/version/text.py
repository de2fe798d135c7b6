"""Schema of the operators' YAML and its compilation to typed objects."""

from __future__ import annotations

from typing import Any

import msgspec
import voluptuous as vol

from lentilroad import yaml_values as v
from lentilroad.errors import ConfigurationError
from lentilroad.version.check import check_semantics, check_size
from lentilroad.version.model import Configuration
from lentilroad.yaml_source import Problem, Source, check_schema, parse_yaml

_REPLICAS = v.mapping_by_name(v.mapping_by_name(v.integer()))
_BUDGET = {
    vol.Optional("tokens"): v.integer(1),
    vol.Optional("money_micro"): v.integer(0),
    vol.Optional("turns"): v.integer(1),
}
_OPERATION = {
    vol.Required("repeatable"): v.boolean,
    vol.Optional("price_micro"): v.integer(),
    vol.Optional("timeout_s"): v.number(0.01, 86_400),
}
_UPSTREAM = {
    vol.Required("version"): v.REVISION,
    vol.Optional("depends_on"): v.list_of(v.NAME),
    vol.Optional("replicas"): _REPLICAS,
    vol.Optional("calls_per_replica"): v.integer(1, 100_000),
    vol.Optional("checks_fencing"): v.boolean,
}
_SERVICE = {**_UPSTREAM, vol.Required("operations"): v.mapping_by_name(_OPERATION)}
_MODEL = {
    **_UPSTREAM,
    vol.Required("context_tokens"): v.integer(1),
    vol.Optional("prompt_price_micro_per_1k_tokens"): v.integer(),
    vol.Optional("completion_price_micro_per_1k_tokens"): v.integer(),
    vol.Optional("size_bytes"): v.integer(),
}
_ADAPTER = {
    vol.Required("model"): v.NAME,
    vol.Required("version"): v.REVISION,
    vol.Optional("size_bytes"): v.integer(),
}
_ZONE = {
    vol.Optional("engine_workers"): v.integer(),
    vol.Optional("service_workers"): v.integer(),
}
_LIMITS = {
    vol.Optional("concurrent_programs"): v.integer(1),
    vol.Optional("concurrent_calls"): v.integer(1),
    vol.Optional("requests_per_s"): v.number(0.001),
    vol.Optional("max_tokens_per_turn"): v.integer(1),
    vol.Optional("program_idle_s"): v.number(1),
    vol.Optional("program_duration_s"): v.number(1),
    vol.Optional("weight_store_bytes_per_s"): v.integer(1),
}
_CALLER_LIMITS = {
    vol.Optional("concurrent_programs"): v.integer(1),
    vol.Optional("concurrent_calls"): v.integer(1),
    vol.Optional("requests_per_s"): v.number(0.001),
}
_CALLER = {
    vol.Required("key_sha256"): v.list_of(v.SHA256, minimum=1),
    vol.Optional("models"): v.list_of(v.NAME),
    vol.Optional("services"): v.list_of(v.NAME),
    vol.Optional("share"): v.number(0.001, 1_000),
    vol.Optional("limits"): _CALLER_LIMITS,
    vol.Optional("budget"): _BUDGET,
}
_DOCUMENT = {
    vol.Required("deployment"): v.NAME,
    vol.Optional("latency"): {
        vol.Optional("between_zones_ms"): v.number(),
        vol.Optional("between_regions_ms"): v.number(),
        vol.Optional("to_clients_ms"): v.number(),
    },
    vol.Optional("weights"): {
        vol.Optional("program_latency"): v.number(),
        vol.Optional("wasted_cache"): v.number(),
        vol.Optional("late_turns"): v.number(),
    },
    vol.Optional("limits"): _LIMITS,
    vol.Optional("budget"): _BUDGET,
    vol.Required("regions"): v.mapping_by_name(
        {vol.Required("availability_zones"): v.mapping_by_name(_ZONE)}
    ),
    vol.Optional("models"): v.mapping_by_name(_MODEL),
    vol.Optional("adapters"): v.mapping_by_name(_ADAPTER),
    vol.Optional("services"): v.mapping_by_name(_SERVICE),
    vol.Optional("callers"): v.mapping_by_name(_CALLER),
}
_SCHEMA = vol.Schema(_DOCUMENT)
_KNOWN_KEYS = v.known_keys(_DOCUMENT)
_GENERAL_KEYS = ("deployment", "latency", "weights", "limits", "budget")


class InvalidTextError(ConfigurationError):
    """The operators' configuration is invalid; `problems` lists all problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


def compile_text(text: str, *, file: str = "configuration") -> Configuration:
    """Validate the operators' YAML and convert it to typed objects.

    Parameters
    ----------
    text : str
        The whole YAML document.
    file : str
        File name for error messages.

    Returns
    -------
    Configuration
        Immutable objects with all defaults filled in.

    Raises
    ------
    InvalidTextError
        The text is invalid. Each problem has the line, key path, found and expected
        values and remedy.
    """
    problems, configuration = check_text(text, file=file)
    if problems or configuration is None:
        raise InvalidTextError(problems)
    return configuration


def check_text(
    text: str, *, file: str = "configuration"
) -> tuple[list[Problem], Configuration | None]:
    """Return all problems of a text, and its typed form if there are none."""
    problems = check_size(text, file=file)
    if problems:
        return problems, None
    source, problems = parse_yaml(text, file=file)
    if source.data is None:
        return problems, None
    data, schema_problems = check_schema(source, _SCHEMA, known_keys=_KNOWN_KEYS)
    problems += schema_problems
    if data is None:
        return _sort_by_line(problems), None
    configuration = _convert(data)
    problems += check_semantics(source, configuration)
    return _sort_by_line(problems), configuration if not problems else None


def _sort_by_line(problems: list[Problem]) -> list[Problem]:
    return sorted(problems, key=lambda problem: (problem.line, problem.key_path))


def _convert(data: dict[str, Any]) -> Configuration:
    general = {key: data[key] for key in _GENERAL_KEYS if key in data}
    rest = {key: data[key] for key in data if key not in _GENERAL_KEYS}
    return msgspec.convert({"general": general, **rest}, Configuration)


def source_of(text: str, *, file: str = "configuration") -> Source:
    """Parse a text into its data and line numbers without validating it."""
    return parse_yaml(text, file=file)[0]
