"""Tests that documentation and examples match the code."""

from __future__ import annotations

import hashlib
import re
from pathlib import Path

import pytest

from lentilroad.process import settings
from lentilroad.version import text
from tests.version.texts import example_text

PAGE = Path(__file__).parents[2] / "docs" / "configuration.md"


@pytest.mark.parametrize("module", [settings, text])
def test_every_key_is_documented(module):
    """Guard against configuration keys that the page does not mention."""
    documented = set()
    for path in re.findall(r"`([A-Za-z0-9_.]+)`", PAGE.read_text(encoding="utf-8")):
        documented.update(path.split("."))
    assert module._KNOWN_KEYS - documented == set()


@pytest.mark.parametrize("name", ["ndende", "hill_country"])
def test_example_key_matches_its_hash(name):
    """The demo cannot authenticate if its key does not match the stored hash."""
    example = example_text(name)
    (key,) = re.findall(r'The key is "([a-z-]+)"', example)
    assert hashlib.sha256(key.encode()).hexdigest() in example
    assert "Example only." in example
