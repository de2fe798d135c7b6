"""Settings file: defaults, secrets and rejection of invalid settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from lentilroad.process.settings import Secret, SettingsError, load_settings

ENTRY = """\
role: entry
address: 127.0.0.1:7000
http_address: 127.0.0.1:8080
region: dakar
availability_zone: dakar-a
data_folder: data
key_value:
  endpoints: ["http://127.0.0.1:2379"]
  password: !secret_file password.txt
"""


def _write(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return path


def _problems(tmp_path, text, **options):
    with pytest.raises(SettingsError) as caught:
        load_settings(_write(tmp_path, text), **options)
    return caught.value.problems


def test_entry_settings_and_secret_file(tmp_path):
    """Guards against a secret that appears in the repr of the settings."""
    (tmp_path / "password.txt").write_text("hunter2\n")
    settings = load_settings(_write(tmp_path, ENTRY))
    assert settings.key_value.password.reveal() == "hunter2"
    assert "hunter2" not in repr(settings)
    assert settings.data_folder == Path(tmp_path / "data")
    assert settings.limits.concurrent_streams == 5_000


def test_sidecar_settings_and_environment_secret(tmp_path):
    """Guards against a sidecar that starts without the upstream's key."""
    text = """\
role: sidecar
address: 127.0.0.1:7001
region: dakar
availability_zone: dakar-a
seed_entries: [127.0.0.1:7000]
upstream:
  url: http://127.0.0.1:9000
  kind: engine
  upstream_id: engine-1
  names: [partner-coach]
  bearer_key: !env ENGINE_KEY
"""
    settings = load_settings(
        _write(tmp_path, text), environment={"ENGINE_KEY": "s3cret"}
    )
    assert settings.upstream.bearer_key == Secret("s3cret")
    problems = _problems(tmp_path, text, environment={})
    assert [problem.key_path for problem in problems] == ["upstream.bearer_key"]
    assert "ENGINE_KEY" in problems[0].remedy


def test_all_problems_are_reported_at_once(tmp_path):
    """Guards against a report of only one problem, which costs a restart for each."""
    text = """\
role: entri
address: nowhere
region: dakar
availability_zone: dakar-a
http_address: 127.0.0.1:8080
datafolder: x
limits: {concurrent_streams: 0}
region: thies
"""
    problems = _problems(tmp_path, text)
    positions = {(problem.line, problem.key_path) for problem in problems}
    assert positions == {
        (1, "role"),
        (2, "address"),
        (6, "datafolder"),
        (7, "limits.concurrent_streams"),
        (8, "region"),
    }
    by_path = {problem.key_path: str(problem) for problem in problems}
    assert "did you mean data_folder?" in by_path["datafolder"]
    assert "found 'entri', expected one of entry, sidecar" in by_path["role"]
    assert "settings.yaml:2:" in by_path["address"]


def test_error_for_a_missing_file_names_the_remedy(tmp_path):
    """Guards against a wrong path that ends in a traceback without a remedy."""
    with pytest.raises(SettingsError) as caught:
        load_settings(tmp_path / "missing.yaml")
    assert "check the path" in caught.value.message


def test_plain_text_password_is_refused_without_showing_it(tmp_path):
    """Guards against a secret in the settings file that appears in an error message."""
    text = ENTRY.replace("!secret_file password.txt", "hunter2")
    problems = _problems(tmp_path, text)
    assert [problem.key_path for problem in problems] == ["key_value.password"]
    assert "hunter2" not in str(problems[0])
