"""Rate limits that targets name."""

import asyncio

import pytest
from test_crashes import FIVE_MODELS
from test_crashes import send_prompt
from test_direct import on_edge

from snipedeal_direct.limits import parse_rate_limit


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"5.2", 5.2),
        (b"0", 0.0),
        (b" 12 ", 12.0),
        (b"1e9", 1e9),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"five", None),
    ],
)
def test_rate_limit_that_is_no_finite_number_is_none(value, limit):
    assert parse_rate_limit(value) == limit


def allowed_requests(limit, seconds=4):
    """Return the requests that a target may get in a span, by the stated target."""
    return 1.5 * limit * seconds + 5


@on_edge(FIVE_MODELS, routers=3)
async def test_targets_do_not_get_more_than_the_rate_limit_that_they_name(
    edge,
):
    limited = [edge.replicas[f"model-{i}"] for i in range(3)]
    for replica in limited:
        replica.faults.rate_limit = "2.0"
    statuses = []

    async def call(router, number):
        answer = await send_prompt(edge, router, f"r{number}", "head", f"doc{number}")
        statuses.append(answer.status)

    async def load(seconds):
        calls = []
        for number in range(int(seconds * 60)):
            calls.append(asyncio.create_task(call(number % 3, len(statuses) + number)))
            await asyncio.sleep(1 / 60)
        await asyncio.gather(*calls)

    await load(2)
    before = {replica.spec.id: replica.arrivals for replica in limited}
    statuses.clear()
    await load(4)
    sent = {r.spec.id: r.arrivals - before[r.spec.id] for r in limited}
    assert max(sent.values()) <= allowed_requests(2.0), sent
    # The other targets take what these do not.
    assert statuses.count(200) == len(statuses)
