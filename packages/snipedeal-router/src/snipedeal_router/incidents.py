"""Receive incidents, the crashes of targets, from the log and directly from gates."""

import typing as t

import msgspec
from absl import logging

from snipedeal import defaults
from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import parse_json
from snipedeal.exceptions import UnreadableError
from snipedeal.membership import ROUTER
from snipedeal.messages import Incident
from snipedeal.platform import LogBatch
from snipedeal.platform import follow_stream
from snipedeal.plugins import register_plugin
from snipedeal.quarantine import Standing
from snipedeal.utils import rendezvous_owner
from snipedeal_router.requests import Request

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@register_plugin(ROUTER, "incidents")
class IncidentReader:
    """Pass incidents to the quarantine, and keep quarantined requests from targets.

    :param router: the router that this plug-in belongs to.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._quarantine = router.quarantine
        self._evidence = router.evidence
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
                incident = msgspec.convert(parse_json(record.data), Incident)
            except (UnreadableError, *DECODING_ERRORS) as error:
                logging.warning(
                    "ignored incident record %d: %s", record.offset, str(error)[:200]
                )
                continue
            self._apply(incident)
        if not batch.records:
            self._offset = max(self._offset, batch.next - 1)

    def _on_incident(self, gate: str, message: Incident) -> None:
        self._apply(message)

    def _apply(self, incident: Incident) -> None:
        now_ms = self._node.clock.now_ms()
        try:
            standings = {trait: Standing(value) for trait, value in incident.standings}
        except ValueError:
            standings = {}
        self._evidence.merge(incident.crash, standings, now_ms)
        if incident.fingerprints and self._quarantine.apply(incident, now_ms):
            self._node.events.add(
                "incident",
                crash=incident.crash,
                target=incident.target,
                suspects=len(incident.fingerprints),
                solo=incident.is_solo,
                traits=len(standings),
                quarantined=len(self._evidence.quarantined),
            )

    # -- requests ------------------------------------------------------------------

    def is_refused(self, request: Request) -> bool:
        """Return whether a request is in quarantine and must not be dispatched.

        A request whose quarantine has ended may become the probe that tries it.
        """
        now_ms = self._node.clock.now_ms()
        if self._quarantine.is_refused(request.fingerprint, now_ms):
            return True
        if request.is_probe or not self._evidence.quarantined:
            return False
        cause = self._evidence.find_cause(request.traits, now_ms)
        if cause is None:
            return False
        request.is_probe = not request.may_have_run and self._evidence.begin_probe(
            request.traits, self._owns, now_ms
        )
        self._node.events.add(
            "quarantine.probed" if request.is_probe else "quarantine.refused",
            request.id,
            trait=f"{cause.trait:016x}",
            crashes=list(cause.instances),
            left_ms=round(cause.left_ms),
        )
        return not request.is_probe

    def clear(self, request: Request) -> None:
        """Clear an answered request of suspicion, here and at the other routers."""
        self._quarantine.clear_suspect(request.fingerprint)
        now_ms = self._node.clock.now_ms()
        for crash in self._evidence.clear(request.traits, now_ms):
            standings = [
                (trait, int(value)) for trait, value in crash.standings.items()
            ]
            report = Incident(crash.instance, "", [], False, standings)
            for vm in self._node.membership.routers():
                if vm.name != self._node.name:
                    self._node.send(vm.name, report)

    def _owns(self, trait: int) -> bool:
        names = [vm.name for vm in self._node.membership.routers()]
        return rendezvous_owner(str(trait), names) == self._node.name
