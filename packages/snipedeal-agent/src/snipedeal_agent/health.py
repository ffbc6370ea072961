"""Watch the target's health and load."""

import asyncio
import json
import typing as t

import aiohttp

from snipedeal import defaults
from snipedeal.membership import TARGET
from snipedeal.plugins import register_plugin

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent

_HTTP_OK = 200


@register_plugin(TARGET, "health")
class Health:
    """Ask the target for its load at intervals.

    :param agent: the agent that this is a part of.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._failures = 0
        self.load: dict[str, t.Any] = {}

    def start(self) -> None:
        """Begin to ask."""
        self._agent.node.run_loop(self._run, "health")

    async def close(self) -> None:
        """Do nothing; the node ends the task."""

    async def probe(self) -> bool:
        """Ask once; return whether the target answered well."""
        load = await self._read_load()
        if load is None:
            self._failures += 1
        else:
            self._failures = 0
            self.load = load
            self._take_slots(load)
        is_up = self._failures < defaults.ENGINE_FAILURES_UNTIL_DOWN
        self._agent.is_target_up = is_up and bool(self.load)
        return load is not None

    def note_down(self) -> None:
        """Shut the gate until the target has answered again."""
        self._failures = defaults.ENGINE_FAILURES_UNTIL_DOWN
        self._agent.is_target_up = False
        self._agent.refresh_state()

    async def _run(self) -> None:
        while True:
            await self.probe()
            self._agent.refresh_state()
            await asyncio.sleep(defaults.ENGINE_POLL_MS / 1000)

    async def _read_load(self) -> dict[str, t.Any] | None:
        timeout = aiohttp.ClientTimeout(total=defaults.ENGINE_CONNECT_TIMEOUT_MS / 1000)
        url = f"{self._agent.target.url}/load"
        try:
            async with self._agent.target.session.get(url, timeout=timeout) as answer:
                if answer.status != _HTTP_OK:
                    return None
                return json.loads(await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    def _take_slots(self, load: dict[str, t.Any]) -> None:
        if self._agent.settings.slots == 0:
            self._agent.gate.slots = int(load.get("max_batch", 1))
