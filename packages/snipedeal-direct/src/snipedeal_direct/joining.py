"""Decide when a router that has started puts its first configuration in force.

The store may have returned from an old copy, so that its newest configuration is older
than the one that other routers serve. A router therefore compares it with what its
peers announce before it takes any request.
"""

import asyncio
import typing as t

from snipedeal_direct import defaults
from snipedeal_direct.journal import info
from snipedeal_direct.journal import warning

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter


def may_join(
    *,
    waited_ms: float,
    listed_ms: float | None,
    has_newer_peer: bool,
    has_heard_all: bool,
) -> bool:
    """Return whether a router may put the configuration in force that it has.

    :param waited_ms: time since the router got its first configuration.
    :param listed_ms: time since it knows as well which other routers are registered,
        ``None`` before that.
    :param has_newer_peer: whether a peer announces a newer configuration.
    :param has_heard_all: whether it has heard from all routers that it knows.
    """
    if waited_ms >= defaults.JOIN_LIMIT_MS:
        # Peers or a store that do not answer must not keep the router out of service.
        return True
    if has_newer_peer or listed_ms is None:
        return False
    return has_heard_all or listed_ms >= defaults.JOIN_WAIT_MS


async def join(router: "DirectRouter") -> None:
    """Wait until the router's configuration may be in force, then apply it."""
    first_ms: float | None = None
    listed_since_ms: float | None = None
    pause_ms = defaults.JOIN_POLL_MS
    while not router.has_joined:
        await asyncio.sleep(pause_ms / 1000)
        if router.known_version < 0:
            continue
        now_ms = router.clock.now_ms()
        first_ms = now_ms if first_ms is None else first_ms
        if listed_since_ms is None and router.has_listed_routers:
            listed_since_ms = now_ms
        await router.peers.fetch_newer_config()
        now_ms = router.clock.now_ms()
        has_newer_peer = router.peers.has_newer_config()
        pause_ms = defaults.JOIN_RETRY_MS if has_newer_peer else defaults.JOIN_POLL_MS
        if may_join(
            waited_ms=now_ms - first_ms,
            listed_ms=None if listed_since_ms is None else now_ms - listed_since_ms,
            has_newer_peer=has_newer_peer,
            has_heard_all=router.peers.has_heard_all,
        ):
            log = warning if has_newer_peer else info
            log(
                "router.joined",
                version=router.known_version,
                waited_ms=int(now_ms - first_ms),
                peers=router.peers.live_count,
                has_newer_peer=has_newer_peer,
            )
            router.apply_first_table()
