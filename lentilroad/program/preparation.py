"""What a turn needs before its first attempt: checks, messages, reservation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from lentilroad.clock import Clock
from lentilroad.errors import ProgramEndedError, RateLimitedError
from lentilroad.program import const
from lentilroad.program.budget import Spending, as_spending, at_most
from lentilroad.program.history import new_messages, read_history, token_bound
from lentilroad.program.records import CallIntent
from lentilroad.program.turns import Program, TurnRun, deadline_exceeded
from lentilroad.wire.messages import ChatMessage, Finished, RunTurnRequest


@dataclass(slots=True, kw_only=True, frozen=True)
class CallPolicy:
    """What the operators' configuration says about a call.

    Parameters
    ----------
    idempotent : bool
        Whether the call may be repeated. Chat calls always are.
    price_micro : int
        Declared price of a service call in micro-units of money.
    prompt_token_micro, completion_token_micro : float
        Price of one token in micro-units.
    """

    idempotent: bool = False
    price_micro: int = 0
    prompt_token_micro: float = 0.0
    completion_token_micro: float = 0.0


def default_policy(request: RunTurnRequest) -> CallPolicy:
    """Treat chat calls as repeatable and service calls as not repeatable."""
    return CallPolicy(idempotent=request.kind == "chat")


@dataclass(slots=True, kw_only=True)
class Work:
    """One turn while it is executed."""

    program: Program
    run: TurnRun
    request: RunTurnRequest
    history: list[ChatMessage]
    policy: CallPolicy
    reserved: Spending
    number: int
    attempt: int = 0
    forced_prefix: str = ""
    moved: bool = False
    excluded: set[str] = field(default_factory=set)
    intent: CallIntent | None = None
    # Set when an earlier owner may have dispatched `intent`.
    resolve_first: bool = False
    is_resumed: bool = False
    dispatched_epoch: int = 0
    # Set when an attempt may have run, so that no later refusal says `not_run`.
    may_have_run: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether the call may be repeated at another upstream."""
        return self.request.kind == "chat" or self.policy.idempotent


def prepare(
    program: Program,
    run: TurnRun,
    *,
    clock: Clock,
    policy_of: Callable[[RunTurnRequest], CallPolicy],
) -> Work:
    """Check a turn and compute its messages and its worst case.

    Raises
    ------
    LentilroadError
        The turn cannot be started.
    """
    state = program.state
    request = run.request
    stored = read_history(state.history) if request.kind == "chat" else []
    intent = run.intent
    if intent is not None:
        if not program.is_open and intent.idempotent:
            run.abort(ended_error())
        return Work(
            program=program,
            run=run,
            request=request,
            history=stored,
            policy=policy_of(request),
            reserved=intent.reserved,
            number=intent.number,
            attempt=intent.attempt,
            forced_prefix=intent.forced_prefix,
            moved=intent.attempt > 1,
            may_have_run=intent.idempotent and intent.attempt > 1,
            is_resumed=True,
            intent=intent,
            resolve_first=True,
        )
    check_startable(program, run, clock=clock)
    added = new_messages(stored, request.messages, full_history=request.full_history)
    policy = policy_of(request)
    return Work(
        program=program,
        run=run,
        request=msgspec.structs.replace(request, messages=added, full_history=False),
        history=stored,
        policy=policy,
        reserved=_worst_case(program, request, policy, stored, added),
        number=state.call_no + 1,
        may_have_run=run.may_have_run,
    )


def check_startable(program: Program, run: TurnRun, *, clock: Clock) -> None:
    """Raise the error that keeps a turn from being started."""
    state = program.state
    if not program.is_open:
        raise ended_error()
    if run.aborted.done():
        raise run.aborted.result()
    if clock.time_s() >= run.deadline_time_s:
        raise deadline_exceeded()
    age_s = clock.time_s() - state.started_time_s
    if (
        state.turn_no >= const.MAX_TURNS
        or state.call_no >= const.MAX_CALLS
        or age_s > const.MAX_PROGRAM_TIME_S
    ):
        raise RateLimitedError(
            "the program reached its limit of turns, calls or time; end it and open "
            "another one"
        )


def ended_error() -> ProgramEndedError:
    """Return the error for a program that takes no more turns."""
    return ProgramEndedError("the program has ended; open another one")


def _worst_case(
    program: Program,
    request: RunTurnRequest,
    policy: CallPolicy,
    stored: list[ChatMessage],
    added: list[ChatMessage],
) -> Spending:
    if request.kind == "service":
        return Spending(money_micro=policy.price_micro)
    state = program.state
    if state.known_tokens and state.known_model == request.model:
        # One message of room for the template around the last answer.
        known = state.known_tokens + const.TEMPLATE_TOKENS_PER_MESSAGE
    else:
        known = token_bound(stored) + const.TEMPLATE_TOKENS_PER_CONVERSATION
    prompt_tokens = known + token_bound(added)
    money_micro = _token_price(policy, prompt_tokens, request.max_tokens)
    return Spending(
        prompt_tokens=prompt_tokens,
        completion_tokens=request.max_tokens,
        money_micro=money_micro,
        turns=1,
    )


def _token_price(policy: CallPolicy, prompt_tokens: int, completion: int) -> int:
    return round(
        prompt_tokens * policy.prompt_token_micro
        + completion * policy.completion_token_micro
    )


def measured(work: Work, finished: Finished) -> Spending:
    """Return what a finished call is charged.

    A moved call is charged at most its reservation: the operator bears the work that
    was done twice.
    """
    usage = finished.usage
    if work.request.kind == "service":
        money_micro = usage.money_micro or work.policy.price_micro
        return as_spending(usage, money_micro=money_micro, turns=0)
    money_micro = usage.money_micro or _token_price(
        work.policy, usage.prompt_tokens, usage.completion_tokens
    )
    spending = as_spending(usage, money_micro=money_micro, turns=1)
    return at_most(spending, work.reserved) if work.moved else spending
