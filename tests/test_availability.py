"""When removals of targets are held after failures of the platform's store."""

import asyncio

import pytest
from test_following import ROUTER_COUNT

from snipedeal.exceptions import LogUnavailableError
from snipedeal_direct import defaults
from snipedeal_direct.availability import Availability
from snipedeal_direct.following import FeedTracker
from snipedeal_direct.following import Position
from snipedeal_direct.gossip import Gossip
from snipedeal_direct.gossip import StoreSpan
from snipedeal_direct.gossip import pack
from snipedeal_platform.source import REMOVAL_HOLD_MS
from snipedeal_standins.edge import Edge
from snipedeal_standins.replica import ReplicaSpec

#: Longer than an outage in which registrations may expire, s.
OUTAGE_S = defaults.STORE_OUTAGE_MS / 1000 + 0.6
#: Time in which a removal that is not held reaches all routers, s; the bound on new
#: requests to a target that has left is 2 s.
REMOVAL_LIMIT_S = 1.5


def answered_until(now_ms):
    found = Availability()
    found.note_answer(0.0)
    found.merge(0.0, now_ms)
    return found


def hold_left_ms(found, now_ms):
    return max(0, REMOVAL_HOLD_MS - found.recovered_ms(now_ms))


# -- the span of answers ---------------------------------------------------------------


def test_failure_between_two_answers_is_no_outage():
    found = answered_until(10_000)
    found.note_failure(10_900)
    assert not found.note_answer(10_950)
    assert hold_left_ms(found, 10_950) == 0


def test_outage_starts_the_span_anew():
    found = answered_until(10_000)
    found.note_failure(11_000)
    assert found.note_answer(10_001 + defaults.STORE_OUTAGE_MS)
    assert found.recovered_ms(10_001 + defaults.STORE_OUTAGE_MS) == 0
    assert found.recovered_ms(10_501 + defaults.STORE_OUTAGE_MS) == 500


def test_silence_without_a_failed_call_is_no_outage():
    found = answered_until(10_000)
    assert not found.note_answer(30_000)
    assert hold_left_ms(found, 30_000) == 0


def test_time_after_a_failed_call_does_not_count_as_recovered():
    found = answered_until(10_000)
    found.note_failure(11_000)
    found.note_answer(20_000)
    found.note_answer(20_500)
    found.note_failure(21_000)
    assert found.recovered_ms(29_000) == 500


def test_first_answer_after_failures_may_follow_an_outage():
    found = Availability()
    found.note_failure(100)
    assert found.note_answer(200)
    assert hold_left_ms(found, 200) == REMOVAL_HOLD_MS


def test_new_router_without_a_failed_call_holds_nothing():
    found = Availability()
    assert hold_left_ms(found, 100) == REMOVAL_HOLD_MS
    assert not found.note_answer(200)
    assert hold_left_ms(found, 200) == 0


def test_answers_to_another_router_end_the_doubt_about_the_store():
    found = answered_until(10_000)
    found.note_failure(11_000)
    assert found.note_answer(20_000)
    assert hold_left_ms(found, 20_000) == REMOVAL_HOLD_MS
    assert not found.merge(0, 19_900)
    assert hold_left_ms(found, 20_100) == 0


def test_first_router_that_is_answered_tells_when_the_outage_ended():
    found = answered_until(10_000)
    found.note_failure(11_000)
    assert found.merge(15_000, 15_100)
    assert not found.note_answer(15_800)
    assert found.recovered_ms(15_800) == 800
    # A report from before the outage.
    assert not found.merge(0, 10_000)
    assert found.recovered_ms(15_800) == 800


# -- routers before a store ------------------------------------------------------------


def _run(scenario, routers=ROUTER_COUNT):
    async def play():
        edge = Edge()
        try:
            specs = [ReplicaSpec("desk-0", "desk"), ReplicaSpec("desk-1", "desk")]
            await edge.start(specs, routers=routers)
            readers = min(routers, defaults.STORE_READERS)
            await edge.wait_until(
                lambda: sum(r.feed_tracker.is_reader for r in edge.routers) == readers
            )
            async with asyncio.timeout(60):
                await scenario(edge)
        finally:
            await edge.close()

    asyncio.run(play())


def _target_counts(edge):
    return [len(router.dispatcher.targets()) for router in edge.routers]


async def _expect_prompt_removal(edge):
    edge.unregister(edge.replicas["desk-0"])
    async with asyncio.timeout(REMOVAL_LIMIT_S):
        while set(_target_counts(edge)) != {1}:
            await asyncio.sleep(0.01)


def turn_away(router, monkeypatch):
    """Let a router's calls to the store fail; return a function that ends it."""
    client = router._source._store
    whole = client._exchange

    async def fail(data):
        raise LogUnavailableError("turned away", "test")

    monkeypatch.setattr(client, "_exchange", fail)
    client._pool.forget(client._address)
    return lambda: monkeypatch.setattr(client, "_exchange", whole)


@pytest.mark.parametrize("delay_s", [0.0, 0.4, 1.2])
@pytest.mark.parametrize("routers", [1, ROUTER_COUNT])
def test_removal_after_a_reset_of_connections_is_not_held(delay_s, routers):
    async def scenario(edge):
        edge.store.reset_connections()
        await asyncio.sleep(delay_s)
        await _expect_prompt_removal(edge)

    _run(scenario, routers)


@pytest.mark.parametrize("is_reader", [True, False])
def test_router_that_was_turned_away_makes_no_router_hold_removals(
    is_reader, monkeypatch
):
    async def scenario(edge):
        router = next(r for r in edge.routers if r.feed_tracker.is_reader is is_reader)
        end = turn_away(router, monkeypatch)
        if not is_reader:
            # A follower calls the store only if a change has not reached it.
            router.feed_tracker.require_read("targets", Position(1, 10**6))
        await edge.wait_until(lambda: router.is_store_unreachable)
        await asyncio.sleep(OUTAGE_S)
        end()
        await edge.wait_until(lambda: not router.is_store_unreachable)
        await _expect_prompt_removal(edge)

    _run(scenario)


@pytest.mark.parametrize("mode", ["busy", "reset", "silent"])
def test_removals_after_an_outage_are_held_until_registrations_are_back(mode):
    async def scenario(edge):
        edge.store.faults.mode = mode
        edge.store.reset_connections()
        await asyncio.sleep(OUTAGE_S)
        # The registrations expire, both of them or one.
        edge.unregister(edge.replicas["desk-0"])
        edge.unregister(edge.replicas["desk-1"])
        edge.store.faults.mode = ""
        edge.store.reset_connections()
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - began < 1.9:
            assert set(_target_counts(edge)) == {2}
            await asyncio.sleep(0.02)
        edge.register(edge.replicas["desk-0"])
        # The one that is still missing is taken as gone by all routers.
        async with asyncio.timeout(3):
            while set(_target_counts(edge)) != {1}:
                await asyncio.sleep(0.01)
        assert all(
            [target.id for target in router.dispatcher.targets()] == ["desk-0"]
            for router in edge.routers
        )

    _run(scenario)


def test_outage_of_the_targets_topic_alone_holds_removals():
    async def scenario(edge):
        edge.store.faults.topics = frozenset({"keyed.servers"})
        edge.store.faults.mode = "busy"
        edge.store.reset_connections()
        await asyncio.sleep(OUTAGE_S)
        edge.unregister(edge.replicas["desk-0"])
        edge.store.faults.mode = ""
        await asyncio.sleep(1.5)
        assert set(_target_counts(edge)) == {2}

    _run(scenario)


def test_follower_with_one_failing_feed_does_not_poll_the_others():
    async def scenario(edge):
        follower = next(r for r in edge.routers if not r.feed_tracker.is_reader)
        edge.store.faults.topics = frozenset({"keyed.op"})
        edge.store.faults.mode = "busy"
        follower.feed_tracker.require_read("config", Position(1, 10**6))
        await edge.wait_until(lambda: follower.is_store_unreachable)
        calls = []
        read = follower._source._store.read

        async def count(topic, offset, wait_ms):
            calls.append(topic)
            return await read(topic, offset, wait_ms)

        follower._source._store.read = count
        follower.feed_tracker.require_read("targets", Position(1, 10**6))
        await asyncio.sleep(0.5)
        assert calls.count("keyed.servers") <= 2

    _run(scenario)


def test_span_that_no_number_can_hold_costs_its_datagram_only():
    async def scenario(edge):
        router = edge.routers[0]
        before = router.store_availability.since_ms
        header = Gossip("router-x", 1, {}, True, [], StoreSpan(-1, 2**60))
        for data in pack(header, []):
            router.peers.receive(data, ("127.0.0.1", 9))
        assert router.store_availability.since_ms == before

    _run(scenario, routers=1)


def test_first_read_after_a_failure_does_not_wait():
    clock = iter(range(0, 10**6, 10))
    tracker = FeedTracker("a", lambda: next(clock))
    tracker.feed("targets").advance(Position(0, 10))
    tracker.feed("targets").is_listed = True
    assert tracker.note_failure("targets") == 0
    assert asyncio.run(tracker.wait_until_due("targets")) == 0
    assert tracker.note_failure("targets") == defaults.FEED_RETRY_MS
    tracker.note_answer("targets")
    assert asyncio.run(tracker.wait_until_due("targets")) == defaults.FEED_WAIT_MS
