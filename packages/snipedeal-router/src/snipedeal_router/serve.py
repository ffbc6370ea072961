"""Run a router until SIGTERM or SIGINT, then drain it."""

import asyncio

from absl import logging

from snipedeal.serving import HttpServer
from snipedeal.settings import RouterSettings
from snipedeal.shutdown import watch_stop_signals
from snipedeal_router import claimant
from snipedeal_router import dispatcher
from snipedeal_router import incidents
from snipedeal_router import orders
from snipedeal_router import snapshots
from snipedeal_router.admission import Admission
from snipedeal_router.app import make_app
from snipedeal_router.router import Router

#: Modules whose import registers plug-ins.
PLUGIN_MODULES = (claimant, dispatcher, incidents, orders, snapshots)

EXIT_OK = 0
EXIT_FAILED = 1
_DRAIN_POLL_INTERVAL_S = 0.05
_RESPONSE_FLUSH_DELAY_S = 0.2


async def serve(settings: RouterSettings) -> int:
    """Run a router in the current event loop and return the exit status.

    :param settings: validated settings.
    """
    router = Router(settings)
    metrics = router.node.metrics
    server = HttpServer(
        make_app(router),
        settings.node,
        Admission(router).identify,
        lambda limit: metrics.refused_input.labels(limit).inc(),
    )
    stop_signals = watch_stop_signals()
    try:
        await server.start()
        await router.start()
    except OSError as error:
        logging.error("router failed to start: %s", error)
        return EXIT_FAILED
    await stop_signals.acquire()
    is_drained = await drain(router, stop_signals)
    if not is_drained:
        # Callers receive an error instead of a connection closed mid-response.
        await router.plugins["dispatcher"].close()
    # Lets finished responses be written before the connections close.
    await asyncio.sleep(_RESPONSE_FLUSH_DELAY_S)
    await server.close()
    await router.close()
    return EXIT_OK if is_drained else EXIT_FAILED


async def drain(router: Router, stop_signals: asyncio.Semaphore) -> bool:
    """Refuse queued requests and wait for the others; return whether all ended.

    :param stop_signals: released by every further stop signal.
    """
    node = router.node
    request_dispatcher = router.plugins["dispatcher"]
    claims = router.plugins["claims"]
    node.is_closing = True
    node.events.add("process.draining", open=request_dispatcher.open_requests)
    request_dispatcher.refuse_queued()
    deadline_ms = node.clock.now_ms() + node.settings.shutdown_limit_ms
    while request_dispatcher.open_requests or claims.has_unconfirmed_closes:
        if node.clock.now_ms() >= deadline_ms or not stop_signals.locked():
            return False
        await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
    return True
