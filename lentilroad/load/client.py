"""HTTP client that runs agent programs like a caller."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from lentilroad.clock import Clock
from lentilroad.load.results import LATE_FIRST_TOKEN_S, ProgramResult
from lentilroad.load.workloads import AgentProgram, Operation, Turn
from lentilroad.request.http_const import (
    HEADER_HISTORY,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_INTERACTIVE,
    HEADER_PROGRAM_ID,
    HEADER_RESUME_OFFSET,
    HISTORY_APPEND,
)

MAX_ATTEMPTS = 40
RETRY_DELAY_S = 0.25
REQUEST_TIMEOUT_S = 60.0
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)


class ProgramRefusedError(Exception):
    """The system refused a request and a retry is not useful."""


class ProgramFailedError(Exception):
    """A request failed, and a retry cannot help or has been exhausted."""


def _record_lost_connection(
    result: ProgramResult, base_url: str, error: Exception
) -> None:
    result.retries += 1
    # A refused connection does not interrupt a request that an entry had accepted.
    if not isinstance(error, aiohttp.ClientConnectorError):
        result.lost_connections.append(base_url)


@dataclass(slots=True, kw_only=True)
class LoadClient:
    """HTTP client of one or more entries, chosen at random for each attempt.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session.
    base_urls : list of str
        Base URLs of entries; each attempt uses a random URL.
    key : str
        The caller's key.
    clock : Clock
        Source of time.
    random_source : random.Random
        Source of random numbers for the choice of entries and for jitter.
    expected_answer : callable or None
        Returns the text that the engine must produce for a model, a list of
        (role, content) pairs and a token limit; None skips the check.
    """

    session: aiohttp.ClientSession
    base_urls: list[str]
    key: str
    clock: Clock
    random_source: random.Random
    expected_answer: Callable[[str, list[tuple[str, str]], int], str] | None = None

    def _base_url(self) -> str:
        return self.random_source.choice(self.base_urls)

    def _headers(self, extra: dict[str, str]) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}", **extra}

    async def _pause(self, retry_after_ms: int | None) -> None:
        delay_s = (retry_after_ms or RETRY_DELAY_S * 1000) / 1000
        await self.clock.sleep(delay_s * self.random_source.uniform(0.8, 1.2))

    async def post(
        self, path: str, body: Any, headers: dict[str, str], result: ProgramResult
    ) -> bytes:
        """Send a request, with retries, and return the body of the answer.

        Raises
        ------
        ProgramRefusedError, ProgramFailedError
            The answer is an error that must not be retried, or no attempt succeeded.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        for _ in range(MAX_ATTEMPTS):
            base_url = self._base_url()
            try:
                async with self.session.post(
                    base_url + path,
                    data=msgspec.json.encode(body),
                    headers=self._headers(headers),
                    timeout=timeout,
                ) as response:
                    data = await response.read()
                    status = response.status
            except CONNECTION_ERRORS as error:
                _record_lost_connection(result, base_url, error)
                await self._pause(None)
                continue
            if status < 400:
                return data
            await self._handle_error(data, result)
        raise ProgramFailedError(
            f"{path} was not answered after {MAX_ATTEMPTS} attempts"
        )

    async def _handle_error(self, data: bytes, result: ProgramResult) -> None:
        error = msgspec.json.decode(data)["error"]
        if error["outcome"] == "unknown" and not error["retry"]:
            result.unknown_outcomes += 1
            raise ProgramFailedError(f"{error['code']}: {error['message']}")
        if not error["retry"]:
            raise ProgramRefusedError(f"{error['code']}: {error['message']}")
        result.refusals += error["outcome"] == "not_run"
        result.retries += 1
        await self._pause(error["retry_after_ms"])

    async def run(self, program: AgentProgram) -> ProgramResult:
        """Run a program and its sub-agents, and return its result."""
        result = ProgramResult(name=program.name)
        started_s = self.clock.monotonic_s()
        try:
            await self._run_steps(program, None, result)
            result.state = "completed"
        except ProgramRefusedError as error:
            result.state = "refused"
            result.problems.append(str(error))
        except ProgramFailedError as error:
            result.state = "failed"
            result.problems.append(str(error))
        result.latency_s = self.clock.monotonic_s() - started_s
        return result

    async def _run_steps(
        self, program: AgentProgram, parent_id: str | None, result: ProgramResult
    ) -> None:
        body: dict[str, Any] = {"parent_program_id": parent_id}
        if parent_id is None and program.budget_tokens:
            body["budget"] = {"tokens": program.budget_tokens}
        opened = msgspec.json.decode(await self.post("/v1/programs", body, {}, result))
        result.program_id = opened["program_id"]
        result.program_ids.append(result.program_id)
        for number, step in enumerate(program.steps):
            if isinstance(step, Turn):
                await self._run_turn(program, step, number, result)
            elif isinstance(step, Operation):
                await self._run_operation(step, result)
            else:
                await self._run_sub_agents(step, result)
        await self._check_history(result)
        await self.post(f"/v1/programs/{result.program_id}/end", {}, {}, result)

    async def _run_sub_agents(
        self, programs: list[AgentProgram], result: ProgramResult
    ) -> None:
        children = [ProgramResult(name=program.name) for program in programs]
        await asyncio.gather(
            *(
                self._run_steps(program, result.program_id, child)
                for program, child in zip(programs, children, strict=True)
            )
        )
        for child in children:
            result.turns += child.turns
            result.late_turns += child.late_turns
            result.tokens += child.tokens
            result.retries += child.retries
            result.refusals += child.refusals
            result.problems += child.problems
            result.confirmed_references += child.confirmed_references
            result.first_token_s += child.first_token_s
            result.lost_connections += child.lost_connections
            result.new_prompts += child.new_prompts
            result.program_ids += child.program_ids

    async def _run_operation(self, step: Operation, result: ProgramResult) -> None:
        await self.clock.sleep(step.pause_s)
        headers = {
            HEADER_PROGRAM_ID: result.program_id,
            HEADER_IDEMPOTENCY_KEY: step.reference,
        }
        path = f"/v1/services/{step.service}/{step.operation}"
        try:
            await self.post(path, {"reference": step.reference}, headers, result)
        except ProgramRefusedError:
            result.not_run_references.append(step.reference)
            raise
        result.confirmed_references.append(step.reference)

    async def _run_turn(
        self, program: AgentProgram, step: Turn, number: int, result: ProgramResult
    ) -> None:
        result.conversation.append(("user", step.prompt))
        headers = {
            HEADER_PROGRAM_ID: result.program_id,
            HEADER_IDEMPOTENCY_KEY: f"turn-{number}",
            HEADER_HISTORY: HISTORY_APPEND,
            HEADER_INTERACTIVE: "true" if program.interactive else "false",
        }
        body = {
            "model": program.model,
            "stream": True,
            "max_tokens": step.max_tokens,
            "messages": [{"role": "user", "content": step.prompt}],
            "stream_options": {"include_usage": True},
        }
        text = await self._stream(body, headers, result)
        result.turns += 1
        result.new_prompts.append(step.prompt)
        if self.expected_answer is not None:
            expected = self.expected_answer(
                program.model, result.conversation, step.max_tokens
            )
            if text != expected:
                result.problems.append(
                    f"turn {number}: the answer differs from the engine's output"
                )
        result.conversation.append(("assistant", text))

    async def _stream(
        self, body: Any, headers: dict[str, str], result: ProgramResult
    ) -> str:
        """Read a streamed answer and resume it after lost connections."""
        text = ""
        started_s = self.clock.monotonic_s()
        first_token_s: float | None = None
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        for _ in range(MAX_ATTEMPTS):
            resume = {HEADER_RESUME_OFFSET: str(len(text))}
            base_url = self._base_url()
            try:
                async with self.session.post(
                    base_url + "/v1/chat/completions",
                    data=msgspec.json.encode(body),
                    headers=self._headers({**headers, **resume}),
                    timeout=timeout,
                ) as response:
                    if response.status >= 400:
                        await self._handle_error(await response.read(), result)
                        continue
                    async for line in response.content:
                        if not line.startswith(b"data: "):
                            continue
                        if line == b"data: [DONE]\n":
                            self._record_first_token(result, first_token_s)
                            return text
                        delta_text = self._read_text_delta(line, result)
                        if delta_text and first_token_s is None:
                            first_token_s = self.clock.monotonic_s() - started_s
                        text += delta_text
            except CONNECTION_ERRORS as error:
                _record_lost_connection(result, base_url, error)
            await self._pause(None)
        raise ProgramFailedError(
            f"the turn was not answered after {MAX_ATTEMPTS} attempts"
        )

    def _read_text_delta(self, line: bytes, result: ProgramResult) -> str:
        event = msgspec.json.decode(line[6:])
        if "error" in event:
            error = event["error"]
            raise ProgramFailedError(f"{error['code']}: {error['message']}")
        usage = event.get("usage")
        if usage:
            result.tokens += usage["completion_tokens"]
        return "".join(
            choice["delta"].get("content") or "" for choice in event["choices"]
        )

    @staticmethod
    def _record_first_token(result: ProgramResult, first_token_s: float | None) -> None:
        if first_token_s is None:
            return
        result.first_token_s.append(first_token_s)
        result.late_turns += first_token_s > LATE_FIRST_TOKEN_S

    async def _check_history(self, result: ProgramResult) -> None:
        """Compare the stored conversation with the conversation that the client had."""
        path = f"/v1/programs/{result.program_id}?history=true"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        for _ in range(MAX_ATTEMPTS):
            try:
                async with self.session.get(
                    self._base_url() + path, headers=self._headers({}), timeout=timeout
                ) as response:
                    data = await response.read()
                    status = response.status
            except CONNECTION_ERRORS:
                await self._pause(None)
                continue
            if status >= 400:
                await self._handle_error(data, result)
                continue
            program = msgspec.json.decode(data)
            spent = program.get("spent", {})
            result.budget_tokens = program.get("budget", {}).get("tokens") or 0
            result.spent_tokens = spent.get("prompt_tokens", 0) + spent.get(
                "completion_tokens", 0
            )
            stored = [
                (message["role"], message["content"])
                for message in program.get("history", [])
            ]
            if stored != result.conversation:
                result.problems.append(
                    "the stored history differs from the client's conversation"
                )
            return
        raise ProgramFailedError(
            f"{path} could not be read after {MAX_ATTEMPTS} attempts"
        )
