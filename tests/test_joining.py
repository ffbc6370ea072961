"""When a router that has started puts its first configuration in force."""

import pytest

from snipedeal_direct import defaults
from snipedeal_direct.joining import may_join

ALONE = {
    "waited_ms": 10.0,
    "listed_ms": 0.0,
    "has_newer_peer": False,
    "has_heard_all": True,
}


@pytest.mark.parametrize(
    ("changes", "is_allowed"),
    [
        ({}, True),
        ({"has_heard_all": False}, False),
        ({"has_heard_all": False, "listed_ms": defaults.JOIN_WAIT_MS}, True),
        ({"listed_ms": None, "waited_ms": defaults.JOIN_WAIT_MS}, False),
        ({"listed_ms": None, "waited_ms": defaults.JOIN_LIMIT_MS}, True),
        ({"has_newer_peer": True}, False),
        ({"has_newer_peer": True, "waited_ms": defaults.JOIN_LIMIT_MS - 1}, False),
        ({"has_newer_peer": True, "waited_ms": defaults.JOIN_LIMIT_MS}, True),
    ],
)
def test_router_joins_once_no_peer_can_have_a_newer_configuration(changes, is_allowed):
    assert may_join(**ALONE | changes) is is_allowed
