"""Guard the HTTP interface for callers: responses, errors and invalid input."""

from __future__ import annotations

import json

import openai
import pytest

from lentilroad.errors import NotOwnerError, OverloadedError, UnavailableError
from lentilroad.wire import messages as m
from lentilroad.wire.convert import to_wire_error
from tests.fakes.front import ANSWER, KEY

BODY = {"model": "tango", "messages": [{"role": "user", "content": "hello"}]}
CHAT = "/v1/chat/completions"


async def stream_text(response):
    """Return the text, the event ids and whether a streamed response is complete."""
    text, ids, done = "", [], False
    for line in (await response.text()).splitlines():
        if line.startswith("id: "):
            ids.append(int(line[4:]))
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            text += "".join(
                choice["delta"].get("content", "") for choice in event["choices"]
            )
    return text, ids, done


async def test_openai_client_works_unmodified(client, owner):
    """The unmodified OpenAI client must list models and complete chats."""
    api = openai.AsyncOpenAI(api_key=KEY, base_url=str(client.make_url("/v1")))
    models = await api.models.list()
    assert [model.id for model in models.data] == ["tango"]
    answer = await api.chat.completions.create(**BODY)
    assert answer.choices[0].message.content == ANSWER
    assert answer.usage.total_tokens == 7
    stream = await api.chat.completions.create(**BODY, stream=True)
    pieces = [chunk.choices[0].delta.content or "" async for chunk in stream]
    assert "".join(pieces) == ANSWER
    await api.close()


async def test_stream_ends_only_after_the_commit_and_fills_gaps(client, owner):
    """Chunks with a gap or an overlap must not change the streamed text.

    The text of a gap is taken from the committed turn.
    """
    owner.output_chunks = [
        m.OutputChunk(offset=0, text="one "),
        m.OutputChunk(offset=2, text="e two "),
        m.OutputChunk(offset=14, text="four"),
    ]
    response = await client.post(CHAT, json={**BODY, "stream": True})
    text, ids, done = await stream_text(response)
    assert text == ANSWER
    assert ids[-1] == len(ANSWER)
    assert done


async def test_stream_resumes_from_an_offset(client, owner):
    """A resent request must continue after the offset of its ``Last-Event-ID``."""
    headers = {"Idempotency-Key": "k", "Last-Event-ID": "4"}
    response = await client.post(CHAT, json={**BODY, "stream": True}, headers=headers)
    text, _, done = await stream_text(response)
    assert text == ANSWER[4:]
    assert done


@pytest.mark.parametrize("error_type", [UnavailableError, NotOwnerError])
async def test_turn_survives_the_loss_of_its_owner(client, owner, error_type):
    """The turn must be resent to the next owner with the same idempotency key."""
    owner.run_turn_errors = [error_type("gone")]
    response = await client.post(CHAT, json=BODY)
    assert response.status == 200
    assert len({turn.idempotency_key for turn in owner.turn_requests}) == 1
    assert len(owner.turn_requests) == 2


async def test_lost_sidecar_is_reported_with_the_emitted_text(client, owner):
    """Without the emitted text the next sidecar would generate the turn anew."""
    owner.output_chunks = [m.OutputChunk(offset=0, text="one "), UnavailableError("x")]
    owner.commit_after_resend = True
    response = await client.post(CHAT, json={**BODY, "stream": True})
    text, _, done = await stream_text(response)
    assert text == ANSWER
    assert done
    assert owner.turn_requests[-1].emitted_text == "one "


async def test_refusal_has_outcome_and_retry_after(client, owner):
    """A refusal must state that the turn did not run and when to retry."""
    owner.error = to_wire_error(OverloadedError("busy; retry", retry_after_ms=1200))
    response = await client.post(CHAT, json={**BODY, "stream": True})
    error = (await response.json())["error"]
    assert response.status == 503
    assert response.headers["Retry-After"] == "2"
    assert error["outcome"] == "not_run"
    assert error["retry_after_ms"] == 1200


@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        (b"{", 400, "invalid_request"),
        (b"\xff\xfe", 400, "invalid_request"),
        (b"[" * 10_000, 400, "invalid_request"),
        (b'{"model":1,"messages":[]}', 400, "invalid_request"),
        (b'{"model":"tango","messages":[]}', 400, "invalid_request"),
        (b'{"model":"other","messages":[]}', 404, "not_found"),
        (b'{"model":"tango","messages":"x"}', 400, "invalid_request"),
        (
            b'{"model":"tango","messages":[{"role":"user"}],"max_tokens":1001}',
            400,
            "invalid_request",
        ),
        (b" " * (5 * 1024 * 1024), 413, "request_too_large"),
    ],
)
async def test_invalid_bodies_get_a_json_error(client, owner, body, status, code):
    """Invalid bodies must neither crash the handler nor reach the owner."""
    response = await client.post(CHAT, data=body)
    assert response.status == status
    assert (await response.json())["error"]["code"] == code
    assert owner.turn_requests == []


@pytest.mark.parametrize(
    "headers",
    [
        {"Lentilroad-Deadline-Ms": "0"},
        {"Lentilroad-Deadline-Ms": "soon"},
        {"Lentilroad-History": "some"},
        {"Idempotency-Key": "k" * 300},
        {"Last-Event-ID": "-1"},
    ],
)
async def test_invalid_headers_are_refused(client, owner, headers):
    """Invalid headers must be refused rather than ignored."""
    response = await client.post(CHAT, json={**BODY, "stream": True}, headers=headers)
    assert response.status == 400
    assert owner.turn_requests == []


@pytest.mark.parametrize("authorization", ["", "Bearer wrong", "Basic x"])
async def test_wrong_keys_are_refused(client, owner, authorization):
    """Requests without a valid key must not reach the owner."""
    for path in (CHAT, "/v1/programs", "/v1/services/floors/book"):
        response = await client.post(
            path, json=BODY, headers={"Authorization": authorization}
        )
        assert response.status == 401
    assert owner.turn_requests == []


async def test_huge_headers_are_refused(client, owner):
    """Headers without a size limit would use unbounded memory."""
    response = await client.get("/v1/models", headers={"X-Large": "x" * 100_000})
    assert response.status == 400


async def test_rate_limited_request_does_not_reach_the_owner(client, owner):
    """A caller above its limit must be refused before the owner is called."""
    owner.rate_limited = True
    response = await client.post(CHAT, json=BODY)
    assert response.status == 429
    assert owner.turn_requests == []


async def test_programs_and_services(client, owner):
    """A program is opened, gets a sub-agent, calls a service and is ended by its id."""
    opened = await (await client.post("/v1/programs", json={})).json()
    program_id = opened["program_id"]
    child = await client.post("/v1/programs", json={"parent_program_id": program_id})
    assert (await child.json())["program_id"].startswith(program_id)
    headers = {"Lentilroad-Program-Id": program_id, "Idempotency-Key": "b1"}
    response = await client.post(
        "/v1/services/floors/book", json={"floor": 1}, headers=headers
    )
    assert await response.json() == {"booked": True}
    assert not owner.turn_requests[-1].single_turn
    response = await client.post("/v1/services/floors/burn", json={})
    assert response.status == 404
    response = await client.post(f"/v1/programs/{program_id}/end", json={})
    assert response.status == 200
    assert owner.end_requests[-1].reason == "ended"
