"""Goodput of a router that has a part of a core, however much is asked of it."""

import asyncio

import pytest

from snipedeal_standins.flood import FloodCustomer
from snipedeal_standins.flood import FloodedRouter

CPU_SHARE = 0.387
#: Requests a second that the engines before the router can just serve.
CAPACITY = 120.0
SECONDS = 4.0


@pytest.fixture
def flood(tmp_path):
    """Return a function that sends several loads to one router, one after the other."""

    def run(*loads):
        async def scenario():
            router = FloodedRouter(tmp_path, CPU_SHARE)
            try:
                await router.start()
                return [await router.run(load, SECONDS) for load in loads]
            finally:
                await router.close()

        return asyncio.run(scenario())

    return run


@pytest.mark.parametrize("factor", [4, 8, 16])
def test_goodput_of_a_small_router_does_not_collapse_under_a_flood(flood, factor):
    factors = (1, 2, factor)
    loads = [[FloodCustomer("key-one", CAPACITY * times)] for times in factors]
    goodput = [result["key-one"].goodput for result in flood(*loads)]
    assert goodput[0] >= 0.9 * CAPACITY
    least = 0.8 * max(goodput)
    assert all(rate >= least for rate in goodput), dict(
        zip(factors, goodput, strict=True)
    )


def test_flooded_small_router_serves_a_light_customer(flood):
    light = FloodCustomer("key-two", 5.0)
    (results,) = flood([FloodCustomer("key-one", 8 * CAPACITY), light])
    assert results["key-two"].in_time >= 0.9 * light.rate * SECONDS
