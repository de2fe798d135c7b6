"""Review of a configuration before it is written."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest

from lentilroad.platform.__main__ import main
from lentilroad.platform.review import Severity, review_configuration

SOUND: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "turns",
            "Host": "a.example",
            "Prefix": "/turns/",
            "Kind": "streaming",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "Service": "models",
            "RetainConversation": True,
            "RetentionS": 60,
        },
        {
            "Name": "lookup",
            "Host": "a.example",
            "Prefix": "/lookup/",
            "Kind": "idempotent",
            "TimeoutMs": 1200,
            "TargetLatencyMs": 200,
            "TrafficSplit": [{"Service": "app", "Weight": 2}],
        },
    ],
    "Services": [{"Name": "models"}, {"Name": "app"}],
    "Tenants": [
        {"Name": "one", "ApiKeys": ["first-key"], "RatePerS": 10, "Burst": 10},
        {"Name": "two", "ApiKeys": ["second-key"]},
    ],
}


def _review(change: dict[str, Any] | None = None, path: tuple[Any, ...] = ()):
    document: Any = copy.deepcopy(SOUND)
    target = document
    for key in path:
        target = target[key]
    if isinstance(target, list):
        target.append(change)
    else:
        target.update(change or {})
    return review_configuration(json.dumps(document).encode())


def test_sound_configuration_has_no_findings() -> None:
    """Guard against false alarms, after which nobody reads the findings."""
    assert review_configuration(json.dumps(SOUND).encode()) == []


@pytest.mark.parametrize(
    ("path", "change", "severity", "where"),
    [
        (("Routes", 0), {"Prefix": "/turns"}, "error", "Routes[turns].Prefix"),
        (("Routes", 0), {"TimeoutMs": 100}, "error", "Routes[turns].TimeoutMs"),
        (("Routes", 0), {"GapAimMs": 4000}, "error", "Routes[turns].GapAimMs"),
        (("Routes", 0), {"RetentionS": 0}, "error", "Routes[turns].RetentionS"),
        (("Routes", 0), {"Attempts": 2}, "warning", "Routes[turns].Attempts"),
        (("Routes", 1), {"AllowResume": True}, "warning", "Routes[lookup].AllowResume"),
        (("Routes", 1), {"Prefix": "/turns/"}, "error", "Routes[lookup]"),
        (("Routes", 1), {"Name": "turns"}, "error", "Routes[turns].Name"),
        (
            ("Routes", 1, "TrafficSplit"),
            {"Service": "models", "Weight": 0},
            "warning",
            "Routes[lookup].TrafficSplit[models]",
        ),
        (("Routes", 1, "TrafficSplit"), {"Service": "x"}, "error", "Routes[lookup]"),
        (("Services",), {"Name": "unused"}, "warning", "Services[unused]"),
        ((), {"Limits": {"IdleTimeoutMs": 10}}, "warning", "Limits.IdleTimeoutMs"),
        ((), {"Limits": {"MaxHeaderBytes": 0}}, "error", "Limits.MaxHeaderBytes"),
        ((), {"Tenants": []}, "error", "Tenants"),
        (("Tenants", 0), {"RatePerS": -1}, "error", "Tenants[one]"),
        (("Tenants", 1), {"ApiKeys": ["first-key"]}, "error", "Tenants[one]"),
        (("Tenants", 1), {"Burst": 5}, "warning", "Tenants[two].Burst"),
        (("Tenants", 1), {"ApiKeys": []}, "warning", "Tenants[two].ApiKeys"),
        ((), {"Version": "seven"}, "error", "configuration"),
    ],
)
def test_fault_is_found_at_its_field(
    path: tuple[Any, ...], change: dict[str, Any], severity: str, where: str
) -> None:
    """Guard against a fault that only shows once the version is in force."""
    findings = _review(change, path)
    assert (severity, where) in [(f.severity.value, f.where) for f in findings]
    assert all("key" not in f.where for f in findings)


@pytest.mark.parametrize(
    ("fields", "where", "text"),
    [
        ({"ApiKeys": 7}, "Tenants[one].ApiKeys", "0 keys added, 1 taken away"),
        (
            {"ApiKey": ["third-key"]},
            "Tenants[one].ApiKey",
            "changes; its values may be keys",
        ),
    ],
)
def test_odd_fields_of_a_customer_are_compared_without_keys(
    fields: dict[str, Any], where: str, text: str
) -> None:
    """Guard against a traceback, and against keys in a field that is misspelt."""
    document = {**copy.deepcopy(SOUND), "Version": 8}
    document["Tenants"][0].update(fields)
    content, in_force = json.dumps(document).encode(), json.dumps(SOUND).encode()
    for findings in (
        review_configuration(content, in_force),
        review_configuration(content.replace(b": 8,", b": 9,"), content),
    ):
        assert not any("-key" in finding.line() for finding in findings)
    findings = review_configuration(content, in_force)
    changes = [(f.where, f.text) for f in findings if f.severity is Severity.CHANGE]
    assert (where, text) in changes


def test_finding_is_one_line_of_printable_text() -> None:
    """Guard against a name that adds a line or moves the cursor of a terminal."""
    findings = _review({"Name": "a\nerror: \x1b[2J", "Burst": 5}, ("Tenants", 1))
    assert all(finding.line().isprintable() for finding in findings)
    assert any("a\\nerror" in finding.line() for finding in findings)


def test_number_in_a_text_is_read_as_in_force() -> None:
    """Guard against a traceback for a number that entries accept."""
    findings = _review({"Attempts": "2.0"}, ("Routes", 0))
    assert [f.where for f in findings] == ["Routes[turns].Attempts"]


def test_changes_against_the_version_in_force_name_no_key() -> None:
    """Guard against keys on a terminal, and against a version that is ignored."""
    document = copy.deepcopy(SOUND)
    document["Routes"][0]["TimeoutMs"] = 2000
    del document["Routes"][1]
    document["Tenants"][0]["ApiKeys"] = ["third-key"]
    in_force = json.dumps(SOUND).encode()
    findings = review_configuration(json.dumps(document).encode(), in_force)
    changes = {f.where: f.text for f in findings if f.severity is Severity.CHANGE}
    assert changes == {
        "Routes[lookup]": "is removed",
        "Routes[turns].TimeoutMs": "3000 becomes 2000",
        "Tenants[one].ApiKeys": "1 keys added, 1 taken away",
    }
    assert [f.where for f in findings if f.severity is Severity.ERROR] == ["Version"]
    assert not any("-key" in f.line() for f in findings)


@pytest.mark.parametrize("content", [b"", b"[]", b"{", b'{"Version": 1, "Routes": 3}'])
def test_unreadable_configuration_is_one_error(content: bytes) -> None:
    """Guard against a traceback in place of a message."""
    findings = review_configuration(content)
    assert [f.severity for f in findings] == [Severity.ERROR]


def test_command_exits_with_2_only_for_errors(tmp_path, capsys) -> None:
    """Guard against a script that sends a faulty configuration."""
    sound = tmp_path / "sound.json"
    sound.write_text(json.dumps(SOUND))
    faulty = tmp_path / "faulty.json"
    faulty.write_text(json.dumps({**SOUND, "Routes": [], "Version": 8}))
    broken = tmp_path / "broken.json"
    broken.write_text("{")
    assert main(["review", str(sound)]) == 0
    assert main(["review", str(faulty), "--in-force", str(sound)]) == 0
    assert "change: Routes[turns]: is removed" in capsys.readouterr().out
    assert main(["review", str(broken)]) == 2
    assert main(["review", str(tmp_path / "missing.json")]) == 2
