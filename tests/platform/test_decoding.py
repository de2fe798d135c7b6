"""Decoding of the platform's settings, configuration, registrations and requests."""

from __future__ import annotations

import copy
import json

import pytest

from lentilroad.errors import ConfigurationError, InvalidRequestError
from lentilroad.platform.configuration import decode_configuration
from lentilroad.platform.requests import decode_request
from lentilroad.platform.settings import decode_settings, read_settings
from lentilroad.platform.workers import decode_worker
from lentilroad.version.routes import RouteKind

SETTINGS = {
    "NodeName": "storage-gulf-a-1",
    "IpAddress": "10.1.0.40",
    "Zone": "gulf-a",
    "Region": "gulf",
    "InternalPortRange": [7380, 7395],
    "Bootstrap": True,
    "DataDirectory": "/data/x",
    "Zones": {"gulf-a": "gulf"},
    "ListenAddresses": {},
    "Limits": {"MemoryMb": 320, "DiskMb": 390},
    "FaultTolerance": {"Machines": 1},
    "Bounds": {
        "DrainMs": 2500,
        "GracePeriodS": 8,
        "ConfigApplyMs": 2500,
        "CatchUpS": 4.4,
        "PassMs": 250,
    },
    "Platform": {"Address": "10.200.1.7:8142"},
    "Unknown": "ignored",
}


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    """Guard against a start that fails because the platform added a key."""
    settings = decode_settings(SETTINGS)
    assert settings.losses_tolerated == 1
    assert settings.bounds.catch_up_s == 4.4
    assert str(settings.data_folder) == "/data/x"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("Platform.Address", None),
        ("Bounds.GracePeriodS", "8"),
        ("InternalPortRange", [7380]),
        ("FaultTolerance.Machines", True),
        ("NodeName", 7),
        ("Bounds.QuotaWindowS", -1),
        ("Bounds.QuotaSlack", float("nan")),
        ("Bounds.QuotaOverage", "0.1"),
    ],
)
def test_error_names_the_wrong_setting(path: str, value: object) -> None:
    """Guard against a wrong setting that is accepted and fails only at its use."""
    document = copy.deepcopy(SETTINGS)
    section = document
    *parents, key = path.split(".")
    for parent in parents:
        section = section[parent]
    if value is None:
        del section[key]
    else:
        section[key] = value
    with pytest.raises(ConfigurationError, match=path):
        decode_settings(document)


def test_quotas_are_off_unless_a_window_is_set() -> None:
    """Guard against limits in deployments that did not ask for them."""
    assert decode_settings(SETTINGS).bounds.quotas is None
    document = copy.deepcopy(SETTINGS)
    document["Bounds"] |= {"QuotaWindowS": 5, "QuotaOverage": 0.1, "QuotaSlack": 20}
    quotas = decode_settings(document).bounds.quotas
    assert quotas is not None
    assert quotas.excess(10.0, 10.0) == 26.0


def test_error_names_the_unreadable_settings_file(tmp_path) -> None:
    """Guard against a traceback instead of an error that names the file."""
    path = tmp_path / "settings.toml"
    path.write_text("NodeName = ")
    with pytest.raises(ConfigurationError, match=r"settings\.toml"):
        read_settings(path)


CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "turns",
            "Host": "H.example",
            "Prefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "TrafficSplit": [{"Service": "s", "Weight": 90}, {"Service": "t"}],
            "Attempts": 2,
            "RetainConversation": True,
            "RetentionS": 60.0,
        },
        {
            "Name": "deep",
            "Host": "h.example",
            "Prefix": "/a/b/",
            "Kind": "non_idempotent",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 250,
            "Service": "t",
        },
    ],
    "Services": [{"Name": "s", "Engine": {"Slots": 8, "TokensPerEvent": 17}}],
    "Limits": {"IdleTimeoutMs": 9000},
    "New": {},
}


def test_configuration_is_decoded_and_the_longest_prefix_matches() -> None:
    """Guard against a request that is sent to the route of a shorter prefix (ROUTE)."""
    table = decode_configuration(json.dumps(CONFIGURATION).encode())
    assert table.version == 7
    assert table.limits.idle_timeout_s == 9.0
    turns = table.match("h.example", "/a/x")
    assert turns is not None
    assert turns.services == (("s", 90), ("t", 1))
    assert turns.retains_conversation
    deep = table.match("h.example", "/a/b/c")
    assert deep is not None
    assert deep.kind is RouteKind.NON_IDEMPOTENT
    assert deep.attempts == 1
    assert table.match("h.example", "/a") is None
    assert table.match("other", "/a/") is None
    engine = table.services["s"].engine
    assert engine is not None
    assert engine.tokens_per_event == 17


@pytest.mark.parametrize("content", [b"", b"{}", b'{"Version":1,"Routes":[{}]}'])
def test_unreadable_configuration_is_an_error(content: bytes) -> None:
    """Guard against a configuration that is accepted in part."""
    with pytest.raises(ConfigurationError):
        decode_configuration(content)


WORKER = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "gulf-a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 250,
    "Sequence": 4,
    "born": 1700000000000,
}


def test_worker_is_decoded() -> None:
    """Guard against a restarted worker that is mistaken for the previous process."""
    worker = decode_worker("servers/i-1", json.dumps(WORKER).encode())
    assert worker is not None
    assert worker.instance_id == "i-1"
    assert worker.cold_s == 0.25
    assert worker.incarnation() == ("i-1", "10.0.0.9:8080", 1700000000000)


@pytest.mark.parametrize(
    "change",
    [
        {"Slots": "8"},
        {"State": "resting"},
        {"Address": "somewhere"},
        {"Address": None},
        {"Service": ""},
        {"Slots": 0},
        {"Zone": 4},
    ],
)
def test_invalid_registration_is_ignored(change: dict[str, object]) -> None:
    """Guard against a registration with wrong fields that breaks the whole list."""
    assert decode_worker("servers/i-1", json.dumps({**WORKER, **change}).encode()) is (
        None
    )
    assert decode_worker("servers/i-1", b"\xff\x00") is None


def test_request_is_decoded() -> None:
    """Guard against a header that is decoded into the wrong field."""
    inbound = decode_request(
        "POST",
        "/a/x",
        [
            (b"Host", b"H.example:80"),
            (b"Lentilroad-Attempt-Id", b"a1"),
            (b"Lentilroad-Program-Id", b"p1"),
            (b"Lentilroad-Token-Counts", b"1460,80"),
            (b"Lentilroad-Token-Budget", b"2312"),
            (b"Lentilroad-Previous-Turn", b"t1"),
            (b"Lentilroad-Prompt-Prefix", b"5c1e07a2:800,91bd3f06:410"),
            (b"Cookie", b"x=1; Lentilroad-Affinity-Key=17"),
            (b"Lentilroad-Deadline-Milliseconds", b"3000"),
        ],
    )
    assert inbound.host == "h.example"
    assert (inbound.prompt_tokens, inbound.max_output_tokens) == (1460, 80)
    assert inbound.budget_tokens == 2312
    assert inbound.previous_turn_id == "t1"
    assert inbound.prompt_parts == (("5c1e07a2", 800), ("91bd3f06", 410))
    assert inbound.affinity_key == "17"
    assert inbound.deadline_s == 3.0


def test_request_without_attempt_id_is_refused() -> None:
    """Guard against a request that a worker would run without an id (UNASKED)."""
    with pytest.raises(InvalidRequestError):
        decode_request("GET", "/", [(b"Host", b"h")])


@pytest.mark.parametrize(
    ("contracts", "expected"),
    [({}, True), ({"Contracts": ["base"]}, False), ({"Contracts": ["tenants"]}, True)],
)
def test_settings_tell_whether_there_are_customers(
    contracts: dict[str, list[str]], expected: bool
) -> None:
    """Guard against entries that leave out quotas where settings name no contracts."""
    document = copy.deepcopy(SETTINGS)
    document.pop("Contracts", None)
    document.update(contracts)
    assert decode_settings(document).has_customers is expected
