"""Receive incidents, the crashes of targets, from the log and directly from gates."""

import json
import typing as t

import msgspec

from snipedeal import defaults
from snipedeal.membership import ROUTER
from snipedeal.messages import Incident
from snipedeal.platform import LogBatch
from snipedeal.platform import follow_stream
from snipedeal.plugins import register_plugin

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@register_plugin(ROUTER, "incidents")
class IncidentReader:
    """Pass incidents to the quarantine.

    :param router: the router that this plug-in belongs to.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._quarantine = router.quarantine
        self._offset = -1

    def start(self) -> None:
        """Register the message handler and start following the stream."""
        self._node.handle(Incident, self._on_incident)
        self._node.run_loop(self._follow, "incidents")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    async def _follow(self) -> None:
        await follow_stream(
            self._node.log,
            defaults.INCIDENT_STREAM,
            lambda: self._offset + 1,
            self._on_batch,
            lambda error: self._node.report_log_status(True, "incidents", str(error)),
        )

    def _on_batch(self, batch: LogBatch) -> None:
        self._node.report_log_status(False, "incidents")
        for record in batch.records:
            self._offset = record.offset
            try:
                incident = msgspec.convert(json.loads(record.data), Incident)
            except (ValueError, msgspec.ValidationError):
                continue
            self._apply(incident)
        if not batch.records:
            self._offset = max(self._offset, batch.next - 1)

    def _on_incident(self, gate: str, message: Incident) -> None:
        self._apply(message)

    def _apply(self, incident: Incident) -> None:
        if self._quarantine.apply(incident, self._node.clock.now_ms()):
            self._node.events.add(
                "incident",
                crash=incident.crash,
                target=incident.target,
                suspects=len(incident.fingerprints),
                solo=incident.is_solo,
            )
