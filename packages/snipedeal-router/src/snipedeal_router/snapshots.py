"""Append configuration snapshots before log retention deletes the records."""

import asyncio
import typing as t

from snipedeal import defaults
from snipedeal.configuration import Applied
from snipedeal.exceptions import LogUnavailableError
from snipedeal.membership import ROUTER
from snipedeal.plugins import register_plugin
from snipedeal.records import SNAPSHOT_KIND
from snipedeal.utils import new_id
from snipedeal.utils import rank_by_rendezvous

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router

_SNAPSHOTS_PER_RETENTION = 4
_CHECK_INTERVAL_S = 0.5


@register_plugin(ROUTER, "snapshots")
class SnapshotWriter:
    """Append a snapshot after a time or a number of records since the last one.

    Any router may append it, and duplicates are harmless. Routers later in
    rendezvous order wait longer, so that usually only one router does it.

    :param router: the router that this plug-in belongs to.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._last_snapshot_ms = 0
        self._records_since_snapshot = 0

    def start(self) -> None:
        """Register for applied records and start the periodic check."""
        self._last_snapshot_ms = self._node.clock.now_ms()
        self._node.on_applied.append(self._on_applied)
        self._node.run_loop(self._run, "snapshots")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    def _on_applied(self, applied: Applied) -> None:
        self._records_since_snapshot += 1
        if applied.kind == SNAPSHOT_KIND:
            self._last_snapshot_ms = self._node.clock.now_ms()
            self._records_since_snapshot = 0

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._is_due():
                await self._publish()

    def _is_due(self) -> bool:
        configuration = self._node.configuration
        if not configuration.is_complete or configuration.offset < 0:
            return False
        rank = self._rank()
        interval_ms = self._node.settings.platform.log_retention_ms
        interval_ms = interval_ms // _SNAPSHOTS_PER_RETENTION * (rank + 1)
        age_ms = self._node.clock.now_ms() - self._last_snapshot_ms
        has_many_records = (
            self._records_since_snapshot >= defaults.SNAPSHOT_EVERY_RECORDS * (rank + 1)
        )
        return age_ms >= interval_ms or has_many_records

    def _rank(self) -> int:
        names = {vm.name for vm in self._node.membership.routers()}
        ranked = rank_by_rendezvous("snapshots", names | {self._node.name})
        return ranked.index(self._node.name)

    async def _publish(self) -> None:
        self._last_snapshot_ms = self._node.clock.now_ms()
        self._records_since_snapshot = 0
        texts = self._node.configuration.snapshot(new_id("snap"))
        try:
            for text in texts:
                await self._node.log.append(defaults.CONFIG_STREAM, text)
        except LogUnavailableError as error:
            self._node.report_log_status(True, "snapshot", str(error))
            return
        self._node.events.add(
            "config.snapshot", covers=self._node.configuration.offset, parts=len(texts)
        )
