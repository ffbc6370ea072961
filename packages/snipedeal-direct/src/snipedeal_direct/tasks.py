"""Run background tasks that must not end silently."""

import asyncio
import typing as t

from snipedeal_direct import defaults
from snipedeal_direct.journal import warning
from snipedeal_direct.metrics import DirectMetrics


def supervise(
    work: t.Callable[[], t.Coroutine[t.Any, t.Any, None]],
    name: str,
    metrics: DirectMetrics,
) -> asyncio.Task[None]:
    """Run a coroutine as a task, and start it again whenever it fails.

    Each failure is logged and counted. A coroutine that returns has done its work.

    :param work: creates the coroutine.
    :param name: name of the task in logs and metrics.
    """

    async def run() -> None:
        while True:
            try:
                await work()
                return
            except Exception as error:
                metrics.task_failures.labels(name).inc()
                warning("task.failed", task=name, error=repr(error)[:500])
            await asyncio.sleep(defaults.TASK_RESTART_MS / 1000)

    return asyncio.create_task(run(), name=name)
