"""Serve an aiohttp application on a free loopback port."""

from __future__ import annotations

from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def serving(application):
    """Serve the application and yield its base URL."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()
