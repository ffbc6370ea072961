"""Receive the signals that ask a process to stop."""

import asyncio
import signal


def watch_stop_signals() -> asyncio.Semaphore:
    """Handle SIGTERM and SIGINT and return a semaphore that each signal releases.

    It counts the signals, so that a second one can cut a graceful shutdown short.
    """
    stop_signals = asyncio.Semaphore(0)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_signals.release)
    return stop_signals
