"""Count the signals that ask a process to end."""

import asyncio
import signal


def count_stops() -> asyncio.Semaphore:
    """Return a semaphore that every SIGTERM or SIGINT releases once."""
    stops = asyncio.Semaphore(0)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stops.release)
    return stops
