"""``lentilroad standin``: run one stand-in as a process, for demos and tests."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from lentilroad.clock import SystemClock
from lentilroad.standins import engine, key_value, service, weight_store


def _engine_application(arguments: dict[str, Any]) -> web.Application:
    models = [arguments["--model"]] if arguments["--model"] else []
    costs = engine.EngineCosts(step_s=float(arguments["--step-ms"]) / 1000)
    standin = engine.EngineStandIn(clock=SystemClock(), models=models, costs=costs)
    return engine.build_application(engine=standin)


def _service_application(arguments: dict[str, Any]) -> web.Application:
    standin = service.ServiceStandIn(clock=SystemClock())
    return service.build_application(service=standin)


def _key_value_application(arguments: dict[str, Any]) -> web.Application:
    return key_value.build_application()


def _weight_store_application(arguments: dict[str, Any]) -> web.Application:
    store = weight_store.WeightStoreStandIn(clock=SystemClock(), weights={})
    return weight_store.build_application(store=store)


APPLICATIONS: dict[str, Callable[[dict[str, Any]], web.Application]] = {
    "engine": _engine_application,
    "service": _service_application,
    "key-value": _key_value_application,
    "weight-store": _weight_store_application,
}


async def serve(application: web.Application, *, host: str, port: int) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    await stop.wait()
    await runner.cleanup()


def run_standin(arguments: dict[str, Any]) -> int:
    """Run ``lentilroad standin KIND`` and return its exit code."""
    application = APPLICATIONS[arguments["KIND"]](arguments)
    host, _, port = arguments["--listen"].rpartition(":")
    asyncio.run(serve(application, host=host, port=int(port)))
    return 0
