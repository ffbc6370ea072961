"""Run a router until it is told to end."""

import asyncio

from absl import logging

from snipedeal.serving import HttpServer
from snipedeal.settings import RouterSettings
from snipedeal.shutdown import count_stops
from snipedeal_router import claimant
from snipedeal_router import dispatcher
from snipedeal_router import incidents
from snipedeal_router import orders
from snipedeal_router import snapshots
from snipedeal_router.app import make_app
from snipedeal_router.router import Router

#: Modules whose import registers plug-ins.
REGISTERED = (claimant, dispatcher, incidents, orders, snapshots)

EXIT_OK = 0
EXIT_FAILED = 1
_DRAIN_POLL_S = 0.05
_ANSWER_GRACE_S = 0.2


async def serve(settings: RouterSettings) -> int:
    """Run a router on the current loop; return the exit status.

    :param settings: checked settings.
    """
    router = Router(settings)
    server = HttpServer(
        make_app(router), settings.node.http_host, settings.node.http_port
    )
    stops = count_stops()
    try:
        await server.start()
        await router.start()
    except OSError as error:
        logging.error("start failed: %s", error)
        return EXIT_FAILED
    await stops.acquire()
    is_drained = await drain(router, stops)
    if not is_drained:
        # callers are told, rather than cut off in the middle of an answer.
        await router.plugins["dispatcher"].close()
    # answers that are ready are written before the connections close.
    await asyncio.sleep(_ANSWER_GRACE_S)
    await server.close()
    await router.close()
    return EXIT_OK if is_drained else EXIT_FAILED


async def drain(router: Router, stops: asyncio.Semaphore) -> bool:
    """Hand back queued work and let the rest end; return whether all did.

    :param stops: released by every further signal.
    """
    node = router.node
    requests = router.plugins["dispatcher"]
    claims = router.plugins["claims"]
    node.is_closing = True
    node.events.add("process.draining", open=requests.open_requests)
    requests.refuse_queued()
    deadline_ms = node.clock.now_ms() + node.settings.shutdown_limit_ms
    while requests.open_requests or claims.has_open_closes:
        if node.clock.now_ms() >= deadline_ms or not stops.locked():
            return False
        await asyncio.sleep(_DRAIN_POLL_S)
    return True
