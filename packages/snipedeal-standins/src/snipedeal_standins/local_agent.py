"""An agent in the event loop of a test, without a platform or routers."""

from snipedeal.messages import Dispatch
from snipedeal.settings import AgentSettings
from snipedeal.settings import NodeSettings
from snipedeal.settings import PlatformSettings
from snipedeal_agent import cli

#: URL of a port that nothing listens on.
UNREACHABLE = "http://127.0.0.1:1"
CUSTOMER = "one"


def make_agent(target_url: str, dialect: str = "openai") -> cli.Agent:
    """Return an agent whose platform is unreachable; it is not started yet."""
    platform = PlatformSettings(UNREACHABLE, UNREACHABLE)
    node = NodeSettings(
        "agent", "region", "zone-a", "tcp://127.0.0.1:0", "127.0.0.1:1", platform
    )
    return cli.Agent(AgentSettings(node, "s", target_url, dialect=dialect, slots=4))


def make_dispatch(
    dialect: str = "openai", prompt_units: float = 0.0, remaining_ms: int = 5_000
) -> Dispatch:
    """Return the dispatch of a request that must not run twice.

    :param remaining_ms: time left until the caller's deadline.
    """
    return Dispatch(
        attempt="a1",
        request="c1",
        service="s",
        customer=CUSTOMER,
        weight=1.0,
        dialect=dialect,
        method="POST",
        path="/x",
        headers={},
        body=b"{}",
        estimate=0.0,
        prompt_units=prompt_units,
        remaining_ms=remaining_ms,
        is_idempotent=False,
        fingerprint="f",
    )
