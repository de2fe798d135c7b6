"""Fixtures for tests of the HTTP interface for callers."""

from __future__ import annotations

import pytest
from aiohttp.test_utils import TestClient, TestServer

from lentilroad.request.http import build_application
from tests.fakes.front import KEY, FakeOwner, front_context


@pytest.fixture
def owner():
    """Return a scripted owner."""
    return FakeOwner()


@pytest.fixture
async def client(owner):
    """Return an HTTP client of the entry that sends a valid API key."""
    server = TestServer(build_application(context=front_context(owner)))
    headers = {"Authorization": f"Bearer {KEY}"}
    async with TestClient(server, headers=headers) as test_client:
        yield test_client
