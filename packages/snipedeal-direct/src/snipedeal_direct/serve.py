"""Run a direct router until SIGTERM or SIGINT."""

import asyncio
import signal
import sys

from snipedeal.clock import Clock
from snipedeal.exceptions import SettingsError
from snipedeal.loading import load_settings
from snipedeal.logs import LEVELS
from snipedeal_direct.journal import LogWriter
from snipedeal_direct.journal import warning
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.meter import make_event_loop
from snipedeal_direct.router import DirectRouter
from snipedeal_direct.router import reload
from snipedeal_direct.settings import DirectSettings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INPUT = 2


def run(path: str) -> int:
    """Run a router with a settings file; return the exit status.

    :param path: JSON file with the settings.
    """
    try:
        settings = load_settings(path, DirectSettings)
        meter = LoopMeter()
        with asyncio.Runner(loop_factory=lambda: make_event_loop(meter)) as runner:
            return runner.run(_serve(settings, path, meter))
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_INPUT


async def _serve(settings: DirectSettings, path: str, meter: LoopMeter) -> int:
    log_writer = LogWriter(settings.name, LEVELS[settings.log_level], Clock())
    log_writer.start()
    router = DirectRouter(settings, log_writer, meter)
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(router, path))
    try:
        await router.start()
    except OSError as error:
        warning("process.start_failed", error=str(error))
        await log_writer.close()
        return EXIT_FAILED
    await stop.wait()
    await router.drain()
    await router.close()
    await log_writer.close()
    return EXIT_OK


def _reload(router: DirectRouter, path: str) -> None:
    """Reload the settings; log an error and apply nothing if they are invalid."""
    try:
        settings = load_settings(path, DirectSettings)
    except SettingsError as error:
        warning("settings.unusable", error=error.message)
        return
    reload(router, settings)
