"""YAML parsing with the line of every key, and problems that state a remedy."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import voluptuous as vol
import yaml

KeyPath = tuple[str | int, ...]
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_VALUE_MAX_CHARACTERS = 60


class RedactedInvalid(vol.Invalid):
    """Validation error whose message must not show the value."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Problem:
    """One error in a YAML file and how to correct it."""

    file: str
    line: int
    key_path: str
    found: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        return (
            f"{location}: {self.key_path or '(document)'}: found {self.found}, "
            f"expected {self.expected}; {self.remedy}"
        )


@dataclass(slots=True, kw_only=True)
class Source:
    """Data of one YAML document with the line on which each key starts."""

    file: str
    data: Any = None
    lines: dict[KeyPath, int] = field(default_factory=dict)

    def line_of(self, path: Iterable[str | int]) -> int:
        """Return the line of a key, or of its nearest recorded ancestor."""
        key_path = tuple(path)
        while key_path and key_path not in self.lines:
            key_path = key_path[:-1]
        return self.lines.get(key_path, 1)

    def value_at(self, path: Iterable[str | int]) -> Any:
        """Return the value under a key path, or None."""
        value = self.data
        for step in path:
            try:
                value = value[step]
            except (KeyError, IndexError, TypeError):
                return None
        return value

    def problem(
        self, path: Iterable[str | int], found: str, expected: str, remedy: str
    ) -> Problem:
        """Build a problem at a key path."""
        steps = tuple(path)
        return Problem(
            file=self.file,
            line=self.line_of(steps),
            key_path=format_key_path(steps),
            found=found,
            expected=expected,
            remedy=remedy,
        )


def format_key_path(path: Iterable[str | int]) -> str:
    """Format a key path as ``services.booking.operations``."""
    return ".".join(str(step) for step in path)


def format_value(value: Any) -> str:
    """Format a value for a message, truncated, with mappings and lists summarized."""
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if value is None:
        return "nothing"
    text = repr(value)
    if len(text) > _VALUE_MAX_CHARACTERS:
        return text[:_VALUE_MAX_CHARACTERS] + "..."
    return text


class _Reader:
    """Builds data from YAML nodes and records lines and problems."""

    __slots__ = ("_loader", "_visited_nodes", "_tags", "problems", "source")

    def __init__(
        self,
        *,
        source: Source,
        loader: Any,
        tags: Mapping[str, Callable[[str], Any]],
    ) -> None:
        self.source = source
        self.problems: list[Problem] = []
        self._loader = loader
        self._tags = tags
        self._visited_nodes: set[int] = set()

    def build(self, node: yaml.Node, path: KeyPath) -> Any:
        self.source.lines.setdefault(path, node.start_mark.line + 1)
        if id(node) in self._visited_nodes:
            self._add(path, "an alias", "a value", "replace the alias by the value")
            return None
        self._visited_nodes.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [self.build(v, (*path, i)) for i, v in enumerate(node.value)]
        return self._scalar(node, path)

    def _add(self, path: KeyPath, found: str, expected: str, remedy: str) -> None:
        self.problems.append(self.source.problem(path, found, expected, remedy))

    def _scalar(self, node: yaml.ScalarNode, path: KeyPath) -> Any:
        if node.tag in self._tags:
            try:
                return self._tags[node.tag](node.value)
            except ValueError as error:
                self._add(path, f"{node.tag} {node.value}", *error.args)
                return None
        try:
            return self._loader.construct_object(node)
        except (yaml.YAMLError, ValueError):
            self._add(
                path,
                f"{node.tag} {node.value!r}"[:_VALUE_MAX_CHARACTERS],
                "a plain value" + self._allowed_tags(),
                "remove the tag or correct the value",
            )
            return None

    def _allowed_tags(self) -> str:
        return f" or one of {', '.join(sorted(self._tags))}" if self._tags else ""

    def _mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            if not isinstance(key_node, yaml.ScalarNode) or key_node.value == "<<":
                self._add(path, "a key that is not a scalar", "a scalar", "replace it")
                continue
            key = key_node.value
            key_path = (*path, key)
            line = key_node.start_mark.line + 1
            if key in result:
                self.problems.append(
                    Problem(
                        file=self.source.file,
                        line=line,
                        key_path=format_key_path(key_path),
                        found=f"a key that line {self.source.lines[key_path]} has",
                        expected="each key once",
                        remedy="merge the two entries or rename one of them",
                    )
                )
                continue
            self.source.lines[key_path] = line
            result[key] = self.build(value_node, key_path)
        return result


def parse_yaml(
    text: str, *, file: str, tags: Mapping[str, Callable[[str], Any]] | None = None
) -> tuple[Source, list[Problem]]:
    """Parse one YAML document and record the line of each key.

    Parameters
    ----------
    text : str
        YAML text.
    file : str
        Name for messages.
    tags : Mapping[str, Callable], optional
        Constructors of local tags such as ``!env``. A constructor raises
        ``ValueError(expected, remedy)`` for an invalid value.

    Returns
    -------
    tuple[Source, list[Problem]]
        The data and its problems: syntax, duplicate keys, aliases, unknown tags.
    """
    source = Source(file=file)
    loader = _LOADER(text)
    try:
        node = loader.get_single_node()
        if node is None:
            source.data = {}
            return source, []
        reader = _Reader(source=source, loader=loader, tags=tags or {})
        source.data = reader.build(node, ())
        return source, reader.problems
    except (yaml.YAMLError, RecursionError) as error:
        return source, [_syntax_problem(file, error)]
    finally:
        loader.dispose()


def _syntax_problem(file: str, error: Exception) -> Problem:
    mark = getattr(error, "problem_mark", None)
    return Problem(
        file=file,
        line=mark.line + 1 if mark else 1,
        key_path="",
        found=str(getattr(error, "problem", None) or type(error).__name__),
        expected="valid YAML",
        remedy="correct the syntax and the indentation at this line",
    )


def check_schema(
    source: Source, schema: vol.Schema, *, known_keys: Iterable[str]
) -> tuple[Any, list[Problem]]:
    """Validate data and turn each voluptuous error into a problem.

    Parameters
    ----------
    source : Source
        Data to validate.
    schema : voluptuous.Schema
        Schema whose messages say what is expected.
    known_keys : Iterable[str]
        All keys of the schema, used to suggest a correction of a misspelled key.

    Returns
    -------
    tuple[Any, list[Problem]]
        Validated data with defaults, or None with all problems.
    """
    try:
        return schema(source.data), []
    except vol.MultipleInvalid as error:
        keys = sorted(set(known_keys))
        return None, [_schema_problem(source, item, keys) for item in error.errors]


def _schema_problem(
    source: Source, error: vol.Invalid, known_keys: list[str]
) -> Problem:
    path = tuple(getattr(step, "schema", step) for step in error.path)
    if isinstance(error, vol.RequiredFieldInvalid):
        return source.problem(path, "no such key", "this key", "add the key")
    if error.msg == "not a valid option" or "extra keys" in error.msg:
        return _unknown_key(source, path, known_keys)
    expected = "a mapping" if error.msg == "expected a dictionary" else error.msg
    redacted = isinstance(error, RedactedInvalid)
    found = "a plain value" if redacted else format_value(source.value_at(path))
    return source.problem(path, found, expected, "change the value")


def _unknown_key(source: Source, path: KeyPath, known_keys: list[str]) -> Problem:
    key = str(path[-1]) if path else ""
    matches = difflib.get_close_matches(key, known_keys, n=1)
    remedy = f"did you mean {matches[0]}?" if matches else "remove the key"
    return source.problem(path, "an unknown key", "only documented keys", remedy)
