"""Tests that the configuration commands report failures and outcomes correctly."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from lentilroad.cli import configuration
from lentilroad.cli.main import main
from lentilroad.clock import SystemClock
from lentilroad.errors import UnavailableError
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.http import add_routes, operator_key_checker
from lentilroad.version.store import ConfigurationStore
from tests.fakes.key_value import FakeKeyValueStore
from tests.version.texts import deployment_text

KEY = "operator-key"


class _Entry:
    """Operator routes of one entry on a loopback port."""

    def __init__(self):
        self.key_value = FakeKeyValueStore()
        self.extra_versions = {}
        self.url = ""

    @asynccontextmanager
    async def serve(self):
        """Serve until the block ends."""
        clock = SystemClock()
        distribution = ConfigurationDistributor(
            call=_refuse_call,
            clock=clock,
            random=random.Random(1),
            peers=list,
            key_value=self.key_value,
            is_watcher=lambda: True,
        )
        store = ConfigurationStore(
            key_value=self.key_value,
            clock=clock,
            random=random.Random(2),
            on_applied=distribution.distribute,
            local_part=distribution.local_part,
        )
        app = web.Application()
        checker = operator_key_checker([hashlib.sha256(KEY.encode()).hexdigest()])
        add_routes(
            app,
            store,
            distribution,
            checker,
            reported_versions=lambda: {
                "a:1": distribution.version,
                **self.extra_versions,
            },
        )
        task = asyncio.create_task(distribution.run())
        async with TestServer(app) as server:
            self.url = str(server.make_url("")).rstrip("/")
            yield self
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _refuse_call(address, method, request, timeout_s):
    raise UnavailableError("no peers in this test")


@pytest.fixture
def configuration_file(tmp_path):
    """Return a function that writes a configuration and returns its path."""

    def write(marker=1):
        path = tmp_path / f"configuration-{marker}.yaml"
        path.write_text(deployment_text(marker=marker))
        return str(path)

    return write


@pytest.fixture(autouse=True)
def _key(monkeypatch):
    monkeypatch.setenv("LENTILROAD_OPERATOR_KEY", KEY)


async def _command(function, entry, **arguments):
    options = {"--url": entry.url, "--json": True, "--author": "ana", **arguments}
    return await asyncio.to_thread(function, options)


async def test_apply_waits_and_history_and_rollback_agree(configuration_file, capsys):
    """Every change must report its version, author and progress to the operator."""
    async with _Entry().serve() as entry:
        for marker in (1, 2):
            code = await _command(
                configuration.run_apply, entry, FILE=configuration_file(marker)
            )
            applied = json.loads(capsys.readouterr().out)
            assert (code, applied["version"]) == (0, marker)
            assert applied["progress"]["in_force"] == 1
        assert await _command(configuration.run_rollback, entry, VERSION="1") == 0
        rolled = json.loads(capsys.readouterr().out)
        assert (rolled["version"], rolled["restored"]) == (3, 1)
        assert await _command(configuration.run_history, entry) == 0
        versions = json.loads(capsys.readouterr().out)["versions"]
        assert [version["version"] for version in versions] == [3, 2, 1]
        assert versions[1]["author"].startswith("ana (key ")
        assert versions[1]["changes"] == ["~ budget.turns: 1 -> 2"]


async def test_diff_and_text_of_a_version(configuration_file, capsys):
    """Diff must not apply a change, and the stored text must equal the applied file."""
    async with _Entry().serve() as entry:
        path = configuration_file(1)
        await _command(configuration.run_apply, entry, FILE=path)
        capsys.readouterr()
        other = configuration_file(5)
        assert await _command(configuration.run_diff, entry, FILE=other) == 0
        answer = json.loads(capsys.readouterr().out)
        assert answer == {"version": 1, "changes": ["~ budget.turns: 1 -> 5"]}
        options = {"--json": False, "--text": "1"}
        assert await _command(configuration.run_history, entry, **options) == 0
        assert capsys.readouterr().out == deployment_text(marker=1)


async def test_conflict_has_its_own_exit_code_and_names_the_new_base_version(
    configuration_file, capsys
):
    """A script must be able to distinguish a conflict from an outage."""
    async with _Entry().serve() as entry:
        for marker in (1, 2):
            await _command(
                configuration.run_apply, entry, FILE=configuration_file(marker)
            )
        capsys.readouterr()
        code = await _command(
            configuration.run_apply,
            entry,
            FILE=configuration_file(3),
            **{"--based-on": "1"},
        )
        error = json.loads(capsys.readouterr().out)["error"]
        assert code == configuration.EXIT_CONFLICT
        assert error["overlapping"] == ["budget.turns"]
        assert "--based-on 2" in error["message"]


async def test_outage_is_reported_as_unchanged(configuration_file, capsys):
    """A refused request must report `not_run`: after `unknown` operators repeat it."""
    async with _Entry().serve() as entry:
        entry.key_value.down = True
        code = await _command(
            configuration.run_history, entry, FILE=configuration_file(1)
        )
        assert code == configuration.EXIT_UNAVAILABLE
        assert json.loads(capsys.readouterr().out)["error"]["outcome"] == "not_run"


async def test_process_without_the_version_is_reported(configuration_file, capsys):
    """Success must not be reported while a process lacks the version."""
    async with _Entry().serve() as entry:
        entry.extra_versions = {"b:1": 0}
        code = await _command(
            configuration.run_apply,
            entry,
            FILE=configuration_file(1),
            **{"--wait": "0.3"},
        )
        progress = json.loads(capsys.readouterr().out)["progress"]
        assert code == configuration.EXIT_NOT_IN_FORCE
        assert progress["behind"] == ["b:1"]


async def test_wrong_key_and_faulty_text_are_refused(
    configuration_file, capsys, monkeypatch, tmp_path
):
    """A change without a valid key or with faults must not be stored."""
    async with _Entry().serve() as entry:
        bad = tmp_path / "bad.yaml"
        bad.write_text("deployment: test\n")
        code = await _command(configuration.run_apply, entry, FILE=str(bad))
        assert code == configuration.EXIT_FAULTS
        assert json.loads(capsys.readouterr().out)["error"]["problems"]
        monkeypatch.setenv("LENTILROAD_OPERATOR_KEY", "wrong")
        path = configuration_file(1)
        code = await _command(configuration.run_apply, entry, FILE=path)
        assert code == configuration.EXIT_USAGE
        assert json.loads(capsys.readouterr().out)["error"]["code"] == "unauthenticated"
        assert entry.key_value.items == {}


def test_check_reports_faults_with_lines(tmp_path, capsys):
    """Check must work without an entry and exit with 1 on a fault."""
    path = tmp_path / "bad.yaml"
    path.write_text(deployment_text() + "colour: red\n")
    assert configuration.run_check({"FILE": str(path)}) == configuration.EXIT_FAULTS
    assert "bad.yaml:20: colour: found an unknown key" in capsys.readouterr().out
    missing = {"FILE": str(tmp_path / "none.yaml"), "--json": True}
    assert configuration.run_check(missing) == configuration.EXIT_USAGE


async def test_lost_answer_is_an_unknown_outcome_with_a_write_id(
    configuration_file, capsys, monkeypatch
):
    """After a lost answer the operator needs the write id to repeat safely."""
    monkeypatch.setattr("lentilroad.cli.operator_client.RETRY_DELAY_S", 0.0)

    async def close_without_answer(reader, writer):
        await reader.readline()
        writer.close()

    server = await asyncio.start_server(close_without_answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    arguments = {
        "--url": f"http://127.0.0.1:{port}",
        "--json": True,
        "--based-on": "0",
        "--write-id": "w1",
        "FILE": configuration_file(1),
    }
    code = await asyncio.to_thread(configuration.run_apply, arguments)
    assert code == configuration.EXIT_UNKNOWN
    assert "--write-id w1" in json.loads(capsys.readouterr().out)["error"]["message"]
    server.close()
    await server.wait_closed()
    # The port is closed now, so the request certainly did not arrive.
    code = await asyncio.to_thread(configuration.run_apply, arguments)
    assert code == configuration.EXIT_UNAVAILABLE


def test_main_prints_its_version(capsys):
    """The imports of the command modules must not break the entry point."""
    assert main(["version", "--json"]) == 0
    assert "version" in json.loads(capsys.readouterr().out)


async def test_text_above_one_megabyte_reaches_the_store(tmp_path, capsys):
    """The HTTP library's default body limit of 1 MB must not refuse large texts."""
    path = tmp_path / "large.yaml"
    path.write_text(deployment_text() + f"# {'x' * 100}\n" * 20_000)
    async with _Entry().serve() as entry:
        assert await _command(configuration.run_apply, entry, FILE=str(path)) == 0
    assert json.loads(capsys.readouterr().out)["version"] == 1
