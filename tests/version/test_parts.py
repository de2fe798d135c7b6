"""Tests of splitting configurations into parts and of diffs."""

from __future__ import annotations

import pytest

from lentilroad.bench.configurations import sized_text
from lentilroad.errors import ConfigurationError
from lentilroad.version.const import PART_TARGET_BYTES, VALUE_MAX_BYTES
from lentilroad.version.diff import diff_configurations
from lentilroad.version.parts import (
    decode_head,
    join_configuration,
    split_configuration,
    split_text,
)
from lentilroad.version.text import compile_text
from tests.version.texts import example_text


def test_parts_restore_the_configuration():
    """A part lost in the split would change the configuration."""
    configuration = compile_text(sized_text())
    parts = split_configuration(configuration)
    assert join_configuration(parts.values()) == configuration
    assert len(parts) > 10
    assert max(map(len, parts.values())) < VALUE_MAX_BYTES


def test_one_changed_caller_changes_one_part():
    """Resending more than one part per change exceeds the byte budget."""
    before = split_configuration(compile_text(sized_text()))
    text = sized_text().replace("requests_per_s: 101", "requests_per_s: 55")
    after = split_configuration(compile_text(text))
    new = [part for digest, part in after.items() if digest not in before]
    assert len(new) == 1
    assert len(new[0]) < 2 * PART_TARGET_BYTES


def test_large_configuration_has_a_small_head():
    """The head is sent to every process, so it must not list thousands of parts."""
    text = sized_text(callers=3_000)
    parts = split_configuration(compile_text(text))
    assert sum(map(len, parts.values())) > 500_000
    assert len(parts) <= 64 + 10
    assert len(split_text(text)) <= 2 * 64


def test_unreadable_parts_and_heads_raise_configuration_error():
    """A damaged value must not stop a process with an unexpected exception."""
    with pytest.raises(ConfigurationError):
        join_configuration([b"\xc1"])
    with pytest.raises(ConfigurationError):
        decode_head(b"{")


@pytest.mark.parametrize("text", ["", "a: 1", "same\n" * 900, "é\n" * 300])
def test_text_parts_restore_the_text(text):
    """The operator must get the text back as written, including repeated lines."""
    assert b"".join(split_text(text)).decode() == text


def test_comments_order_and_explicit_defaults_are_not_changes():
    """Differences without effect would hide effective changes in the diff."""
    text = example_text("ndende")
    other = "# note\n" + text.replace(
        "between_zones_ms: 1\n  between_regions_ms: 12",
        "between_regions_ms: 12\n  between_zones_ms: 1",
    ).replace("checks_fencing: true\n    replicas", "replicas", 1)
    other = other.replace(
        "membership:\n    version",
        "membership:\n    calls_per_replica: 16\n    version",
    )
    changes = diff_configurations(compile_text(text), compile_text(other))
    assert [str(change) for change in changes] == [
        "~ services.floor-booking.checks_fencing: true -> false"
    ]
