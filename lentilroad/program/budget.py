"""Budgets of program trees: reserve the worst case, settle what was used."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentilroad.errors import BudgetExhaustedError
from lentilroad.wire.messages import Budget, Message, Usage


class Spending(Message):
    """Tokens, money and turns that calls used or may use."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0
    money_micro: int = 0
    turns: int = 0

    @property
    def tokens(self) -> int:
        """Return prompt and completion tokens together."""
        return self.prompt_tokens + self.completion_tokens


def add(left: Spending, right: Spending, *, sign: int = 1) -> Spending:
    """Return ``left + sign * right``."""
    return Spending(
        prompt_tokens=left.prompt_tokens + sign * right.prompt_tokens,
        cached_tokens=left.cached_tokens + sign * right.cached_tokens,
        completion_tokens=left.completion_tokens + sign * right.completion_tokens,
        money_micro=left.money_micro + sign * right.money_micro,
        turns=left.turns + sign * right.turns,
    )


def as_usage(spending: Spending) -> Usage:
    """Convert to the message that callers read."""
    return Usage(
        prompt_tokens=spending.prompt_tokens,
        cached_tokens=spending.cached_tokens,
        completion_tokens=spending.completion_tokens,
        money_micro=spending.money_micro,
    )


def as_spending(usage: Usage, *, money_micro: int, turns: int) -> Spending:
    """Convert measured usage."""
    return Spending(
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.cached_tokens,
        completion_tokens=usage.completion_tokens,
        money_micro=money_micro,
        turns=turns,
    )


def at_most(spending: Spending, limit: Spending) -> Spending:
    """Return `spending` with tokens and money capped by `limit`."""
    completion_tokens = min(spending.completion_tokens, limit.tokens)
    prompt_tokens = min(spending.prompt_tokens, limit.tokens - completion_tokens)
    return Spending(
        prompt_tokens=prompt_tokens,
        cached_tokens=min(spending.cached_tokens, prompt_tokens),
        completion_tokens=completion_tokens,
        money_micro=min(spending.money_micro, limit.money_micro),
        turns=spending.turns,
    )


@dataclass(slots=True, kw_only=True)
class Account:
    """Spending of one program and its sub-agents against its budget.

    Parameters
    ----------
    budget : Budget
        Limits; None means unlimited.
    parent : Account, optional
        Account of the parent program, which pays as well.
    """

    budget: Budget
    parent: Account | None = None
    spent: Spending = field(default_factory=Spending)
    reserved: Spending = field(default_factory=Spending)

    def _chain(self) -> list[Account]:
        chain = [self]
        while chain[-1].parent is not None:
            chain.append(chain[-1].parent)
        return chain

    def reserve(self, amount: Spending) -> None:
        """Reserve in this account and all its ancestors, or in none.

        Raises
        ------
        BudgetExhaustedError
            One of the budgets does not cover the amount.
        """
        chain = self._chain()
        for account in chain:
            _check(account, amount)
        for account in chain:
            account.reserved = add(account.reserved, amount)

    def restore(self, *, spent: Spending, reserved: Spending) -> None:
        """Add known amounts without a check, when a copy becomes owned."""
        for account in self._chain():
            account.spent = add(account.spent, spent)
            account.reserved = add(account.reserved, reserved)

    def settle(self, reserved: Spending, spent: Spending) -> None:
        """Replace a reservation by what was spent."""
        for account in self._chain():
            account.reserved = add(account.reserved, reserved, sign=-1)
            account.spent = add(account.spent, spent)


def _check(account: Account, amount: Spending) -> None:
    total = add(add(account.spent, account.reserved), amount)
    limits = (
        ("tokens", account.budget.tokens, total.tokens, amount.tokens),
        ("money", account.budget.money_micro, total.money_micro, amount.money_micro),
        ("turns", account.budget.turns, total.turns, amount.turns),
    )
    for name, limit, wanted, requested in limits:
        if limit is not None and requested and wanted > limit:
            raise BudgetExhaustedError(
                f"the program's budget of {limit} {name} does not cover the worst "
                f"case of this call, which would bring it to {wanted}; lower "
                "max_tokens or open a program with a larger budget"
            )
