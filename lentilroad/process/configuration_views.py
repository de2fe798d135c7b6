"""Read access to the configuration in force for request handling."""

from __future__ import annotations

from lentilroad.errors import UnavailableError
from lentilroad.program.preparation import CallPolicy
from lentilroad.version.distribution import ConfigurationDistributor
from lentilroad.version.model import Caller, Configuration
from lentilroad.wire import messages as m


class ConfigurationView:
    """Answers queries about callers, models and operations.

    Parameters
    ----------
    distribution : ConfigurationDistributor
        Provides the version in force.
    region : str
        Region of this entry; the only region until a version is in force.
    """

    __slots__ = ("_distribution", "_region")

    def __init__(self, *, distribution: ConfigurationDistributor, region: str) -> None:
        self._distribution = distribution
        self._region = region

    def _configuration(self) -> Configuration | None:
        current = self._distribution.current
        return current.configuration if current else None

    def _require_configuration(self) -> Configuration:
        configuration = self._configuration()
        if configuration is None:
            raise UnavailableError(
                "this entry has not received a configuration yet; try again",
                retry_after_ms=500,
            )
        return configuration

    def _caller(self, caller_id: str) -> Caller | None:
        return self._require_configuration().callers.get(caller_id)

    def regions(self) -> list[str]:
        """Return the names of all regions."""
        configuration = self._configuration()
        return list(configuration.regions) if configuration else [self._region]

    def find_caller(self, key_sha256: str) -> str | None:
        """Return the caller with the given key hash; None if there is none."""
        return self._require_configuration().caller_of_key(key_sha256)

    def list_models(self, caller_id: str) -> list[str]:
        """Return the models and adapters that a caller may use."""
        configuration = self._require_configuration()
        names = [*configuration.models, *configuration.adapters]
        caller = self._caller(caller_id)
        if caller is None or caller.models is None:
            return names
        return [name for name in names if name in caller.models]

    def has_operation(self, caller_id: str, service: str, operation: str) -> bool:
        """Return whether an operation exists and the caller may use it."""
        caller = self._caller(caller_id)
        allowed_services = caller.services if caller else None
        if allowed_services is not None and service not in allowed_services:
            return False
        return self._require_configuration().operation(service, operation) is not None

    def fill_budget(self, caller_id: str, budget: m.Budget) -> m.Budget:
        """Return a program's budget with unset limits filled from the configuration."""
        caller = self._caller(caller_id)
        configured = self._require_configuration().general.budget
        if caller is not None and caller.budget is not None:
            configured = caller.budget
        return m.Budget(
            tokens=configured.tokens if budget.tokens is None else budget.tokens,
            money_micro=(
                configured.money_micro
                if budget.money_micro is None
                else budget.money_micro
            ),
            turns=configured.turns if budget.turns is None else budget.turns,
        )

    def completion_tokens_max(self) -> int:
        """Return the maximum number of tokens of one answer."""
        return self._require_configuration().general.limits.max_tokens_per_turn

    def policy_of(self, request: m.RunTurnRequest) -> CallPolicy:
        """Return whether a call is idempotent, and its prices."""
        configuration = self._configuration()
        if configuration is None:
            return CallPolicy(idempotent=request.kind == "chat")
        if request.kind == "chat":
            return _chat_policy(configuration, request.model)
        operation = configuration.operation(request.service, request.operation)
        if operation is None:
            return CallPolicy()
        return CallPolicy(
            idempotent=operation.repeatable, price_micro=operation.price_micro
        )


def _chat_policy(configuration: Configuration, name: str) -> CallPolicy:
    adapter = configuration.adapters.get(name)
    model = configuration.models.get(adapter.model if adapter else name)
    if model is None:
        return CallPolicy(idempotent=True)
    return CallPolicy(
        idempotent=True,
        prompt_token_micro=model.prompt_price_micro_per_1k_tokens / 1000,
        completion_token_micro=model.completion_price_micro_per_1k_tokens / 1000,
    )
