"""Poll the target's health and load."""

import asyncio
import typing as t

import aiohttp
from absl import logging

from snipedeal import defaults
from snipedeal.decoding import parse_json
from snipedeal.exceptions import TargetResponseError
from snipedeal.exceptions import UnreadableError
from snipedeal.membership import TARGET
from snipedeal.plugins import register_plugin
from snipedeal_agent.dialects import read_short_body

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent

_HTTP_OK = 200
#: Largest batch size that a target may report, as in the settings.
_SLOTS_LIMIT = 100_000


@register_plugin(TARGET, "health")
class HealthChecker:
    """Request the load of the target periodically.

    After ``TARGET_FAILURES_UNTIL_DOWN`` consecutive failures the target is down.

    :param agent: the agent that this plug-in belongs to.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._consecutive_failures = 0
        # Failed polls only, unlike the above, which mark_down raises.
        self._failed_polls = 0
        self.load: dict[str, t.Any] = {}

    def start(self) -> None:
        """Start polling."""
        self._agent.node.run_loop(self._run, "health")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    async def probe(self) -> bool:
        """Poll once; return whether the target returned its load."""
        load = await self._read_load()
        if load is None:
            self._consecutive_failures += 1
            self._failed_polls += 1
        else:
            if self._failed_polls >= defaults.TARGET_FAILURES_UNTIL_DOWN:
                self._agent.note_target_replaced()
            self._consecutive_failures = 0
            self._failed_polls = 0
            self.load = load
            self._update_slots(load)
        is_up = self._consecutive_failures < defaults.TARGET_FAILURES_UNTIL_DOWN
        self._agent.is_target_up = is_up and bool(self.load)
        return load is not None

    def mark_down(self) -> None:
        """Close the gate until the target responds again."""
        self._consecutive_failures = defaults.TARGET_FAILURES_UNTIL_DOWN
        self._agent.is_target_up = False
        self._agent.refresh_state()

    async def _run(self) -> None:
        while True:
            await self.probe()
            self._agent.refresh_state()
            await asyncio.sleep(defaults.TARGET_POLL_MS / 1000)

    async def _read_load(self) -> dict[str, t.Any] | None:
        timeout = aiohttp.ClientTimeout(total=defaults.TARGET_CONNECT_TIMEOUT_MS / 1000)
        url = f"{self._agent.target.url}/load"
        try:
            async with self._agent.target.session.get(url, timeout=timeout) as response:
                if response.status != _HTTP_OK:
                    return None
                load = parse_json(await read_short_body(response))
                return load if isinstance(load, dict) else None
        except (
            aiohttp.ClientError,
            TargetResponseError,
            TimeoutError,
            OSError,
            UnreadableError,
        ):
            return None

    def _update_slots(self, load: dict[str, t.Any]) -> None:
        """Use the target's batch size as number of slots if none is configured."""
        if self._agent.settings.slots:
            return
        slots = load.get("max_batch", 1)
        if isinstance(slots, int) and 0 < slots <= _SLOTS_LIMIT:
            self._agent.gate.slots = slots
        else:
            logging.warning("ignored the target's batch size %r", str(slots)[:40])
