"""What an agent charges a customer for attempts at its target."""

import asyncio

from snipedeal.messages import Dispatch
from snipedeal.settings import AgentSettings
from snipedeal.settings import NodeSettings
from snipedeal.settings import PlatformSettings
from snipedeal_agent import cli

UNREACHABLE = "http://127.0.0.1:1"


def make_dispatch(prompt_units):
    return Dispatch(
        attempt="a1",
        request="c1",
        service="s",
        customer="one",
        weight=1.0,
        dialect="openai",
        method="POST",
        path="/x",
        headers={},
        body=b"{}",
        estimate=0.0,
        prompt_units=prompt_units,
        remaining_ms=5_000,
        is_idempotent=False,
        fingerprint="f",
    )


def test_prompt_of_a_request_that_did_not_run_is_not_charged():
    async def scenario():
        platform = PlatformSettings(UNREACHABLE, UNREACHABLE)
        node = NodeSettings(
            "agent", "region", "zone-a", "tcp://127.0.0.1:0", "127.0.0.1:1", platform
        )
        agent = cli.Agent(AgentSettings(node, "s", UNREACHABLE, slots=4))
        await agent.start()
        attempts = agent.plugins["attempts"]
        agent.gate.is_open = True
        assert agent.gate.admit("a1", "one", 1.0, 0.0)
        try:
            attempts._start("router", make_dispatch(prompt_units=100.0))
            (attempt,) = attempts.running
            async with asyncio.timeout(30):
                while attempt.final_message is None:
                    await asyncio.sleep(0.01)
            return attempt.final_message, agent.gate.times.delivered("one")
        finally:
            await agent.close()

    finished, delivered = asyncio.run(scenario())
    assert finished.outcome == "not_run"
    assert delivered == 0.0
