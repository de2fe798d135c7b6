"""Voluptuous validators whose messages state the expected value."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import Any

import voluptuous as vol

Validator = Callable[[Any], Any]
_NAME = re.compile(r"[a-z0-9]([a-z0-9_.-]{0,62}[a-z0-9])?\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")
_ADDRESS = re.compile(r"(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):([0-9]{1,5})\Z")


# Largest integer that JSON parsers represent exactly; messages have 64-bit fields.
MAX_EXACT_INTEGER = 2**53


def integer(minimum: int = 0, maximum: int = MAX_EXACT_INTEGER) -> Validator:
    """Accept an integer in a closed range."""
    expected = f"a whole number of at least {minimum} and at most {maximum}"

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise vol.Invalid(expected)
        if not minimum <= value <= maximum:
            raise vol.Invalid(expected)
        return value

    return check


def number(minimum: float = 0.0, maximum: float = MAX_EXACT_INTEGER) -> Validator:
    """Accept a finite number in a closed range."""
    expected = f"a number of at least {minimum:g} and at most {maximum:g}"

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise vol.Invalid(expected)
        if not minimum <= value <= maximum:
            raise vol.Invalid(expected)
        return float(value)

    return check


def text(expected: str = "text that is not empty") -> Validator:
    """Accept text that is not empty."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or not value:
            raise vol.Invalid(expected)
        return value

    return check


def matching(pattern: re.Pattern[str], expected: str) -> Validator:
    """Accept text that matches a pattern from its start."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.match(value):
            raise vol.Invalid(expected)
        return value

    return check


NAME = matching(
    _NAME, "a name of lower-case letters, digits, '-', '_' and '.', at most 64 long"
)
SHA256 = matching(_SHA256, "a SHA-256 as text of 64 lower-case hexadecimal digits")
REVISION = text("the version as quoted text")


def boolean(value: Any) -> bool:
    """Accept true or false."""
    if not isinstance(value, bool):
        raise vol.Invalid("true or false")
    return value


def address(value: Any) -> str:
    """Accept ``host:port``."""
    match = _ADDRESS.match(value) if isinstance(value, str) else None
    if match is None or not 0 < int(match.group(2)) < 65536:
        raise vol.Invalid("an address as host:port")
    return value


def url(value: Any) -> str:
    """Accept an HTTP URL."""
    if not isinstance(value, str) or not re.match(r"https?://[^\s/]+", value):
        raise vol.Invalid("a URL that starts with http:// or https://")
    return value


def one_of(*options: str) -> Validator:
    """Accept one of the given strings."""
    expected = "one of " + ", ".join(options)

    def check(value: Any) -> str:
        if value not in options:
            raise vol.Invalid(expected)
        return value

    return check


def list_of(item: Validator, *, minimum: int = 0) -> Validator:
    """Accept a list of at least `minimum` values; every invalid value is reported."""
    expected = f"a list of at least {minimum} values" if minimum else "a list"

    def check(value: Any) -> list[Any]:
        if not isinstance(value, list) or len(value) < minimum:
            raise vol.Invalid(expected)
        result = []
        errors: list[vol.Invalid] = []
        for index, element in enumerate(value):
            try:
                result.append(item(element))
            except vol.Invalid as error:
                error.prepend([index])
                errors.append(error)
        if errors:
            raise vol.MultipleInvalid(errors)
        return result

    return check


def mapping_by_name(item: Any) -> dict[Any, Any]:
    """Return the schema of a mapping from names to values."""
    return {NAME: item}


def known_keys(schema: Any) -> set[str]:
    """Return all literal keys of a nested schema."""
    found: set[str] = set()
    if not isinstance(schema, Mapping):
        return found
    for key, value in schema.items():
        name = getattr(key, "schema", key)
        if isinstance(name, str):
            found.add(name)
        found |= known_keys(value)
    return found
