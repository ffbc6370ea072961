"""Command line of ``snipedeal-agent``."""

import asyncio
import sys

import defopt
import falcon.asgi
from absl import logging

from snipedeal.exceptions import SettingsError
from snipedeal.logs import set_up_logs
from snipedeal.serving import HttpServer
from snipedeal.serving import add_monitoring_routes
from snipedeal.settings import AgentSettings
from snipedeal.settings import load_settings
from snipedeal.shutdown import watch_stop_signals
from snipedeal_agent import attempts
from snipedeal_agent import health
from snipedeal_agent import incidents
from snipedeal_agent import openai
from snipedeal_agent import orders
from snipedeal_agent import plain
from snipedeal_agent import sums
from snipedeal_agent.agent import Agent
from snipedeal_agent.dialects import DIALECTS

#: Modules whose import registers plug-ins and dialects.
PLUGIN_MODULES = (attempts, health, incidents, openai, orders, plain, sums)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
_DRAIN_POLL_INTERVAL_S = 0.05
_FINAL_ACK_TIMEOUT_S = 3.0


def run(settings: str) -> int:
    """Run the agent of a target until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 on a failure or if work was
    cut off by a second SIGTERM or the time limit, 2 if the settings are invalid.

    :param settings: JSON file with the agent's settings.
    """
    try:
        loaded = load_settings(settings, AgentSettings)
        if loaded.dialect not in DIALECTS:
            raise SettingsError(
                f"{settings}: dialect: {loaded.dialect!r} is not one of "
                f"{', '.join(DIALECTS)}"
            )
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_SETTINGS
    set_up_logs(loaded.node.name, loaded.node.log_level)
    return asyncio.run(serve(loaded))


async def serve(settings: AgentSettings) -> int:
    """Run an agent in the current event loop and return the exit status."""
    agent = Agent(settings)
    app = falcon.asgi.App()
    add_monitoring_routes(app, agent.node)
    metrics = agent.node.metrics
    server = HttpServer(
        app,
        settings.node,
        on_refused=lambda limit: metrics.refused_input.labels(limit).inc(),
    )
    stop_signals = watch_stop_signals()
    try:
        await server.start()
        await agent.start()
    except OSError as error:
        logging.error("agent failed to start: %s", error)
        return EXIT_FAILED
    await stop_signals.acquire()
    is_drained = await _drain(agent, stop_signals)
    await agent.close()
    await server.close()
    return EXIT_OK if is_drained else EXIT_FAILED


async def _drain(agent: Agent, stop_signals: asyncio.Semaphore) -> bool:
    """Wait for running attempts to end; return whether all did."""
    agent.node.is_closing = True
    agent.node.events.add("process.draining", running=agent.gate.running)
    agent.refresh_state()
    agent.plugins["attempts"].decline_waiting()
    limit_ms = agent.settings.node.shutdown_limit_ms
    deadline_ms = agent.node.clock.now_ms() + limit_ms
    while agent.plugins["attempts"].running:
        is_late = agent.node.clock.now_ms() >= deadline_ms
        if is_late or not stop_signals.locked():
            return False
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
    await agent.node.transport.wait_acknowledged(_FINAL_ACK_TIMEOUT_S)
    return True


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(run))


if __name__ == "__main__":
    main()
