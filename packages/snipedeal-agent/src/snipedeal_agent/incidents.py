"""Append crashes of the target to the log, so that every router sees them."""

import asyncio
import json
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.exceptions import LogUnavailableError
from snipedeal.membership import TARGET
from snipedeal.messages import Incident
from snipedeal.plugins import register_plugin

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent


@register_plugin(TARGET, "incidents")
class IncidentWriter:
    """Append incidents, retrying until the log service confirms them.

    :param agent: the agent that this plug-in belongs to.
    """

    def __init__(self, agent: "Agent") -> None:
        self._node = agent.node

    def start(self) -> None:
        """Do nothing; the first incident starts the first task."""

    async def close(self) -> None:
        """Do nothing; the node cancels the tasks."""

    def publish(self, incident: Incident) -> None:
        """Append an incident in the background; duplicates are harmless."""
        self._node.run_task(self._append(incident), "incident")

    async def _append(self, incident: Incident) -> None:
        data = json.dumps(attrs.asdict(incident))
        while True:
            try:
                await self._node.log.append(defaults.INCIDENT_STREAM, data)
                return
            except LogUnavailableError as error:
                self._node.report_log_status(True, "incident", str(error))
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
