"""Election of the routers that read the store, and recovery of missed changes."""

import asyncio
import socket

import pytest

from snipedeal_direct import defaults
from snipedeal_direct.following import FeedTracker
from snipedeal_direct.following import Position
from snipedeal_direct.following import is_reader
from snipedeal_direct.gossip import Gossip
from snipedeal_direct.gossip import TargetReport
from snipedeal_direct.gossip import pack
from snipedeal_direct.settings import split_address
from snipedeal_standins.edge import Edge
from snipedeal_standins.replica import ReplicaSpec


class FakeClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.mark.parametrize("size", [1, 3, 6, 60])
def test_number_of_readers_does_not_grow_with_the_fleet(size):
    names = [f"router-{n}" for n in range(size)]
    readers = [
        name for name in names if is_reader(name, [n for n in names if n != name])
    ]
    assert len(readers) == min(size, defaults.STORE_READERS)


def test_next_router_replaces_a_reader_that_cannot_reach_the_store():
    names = [f"router-{n}" for n in range(8)]
    readers = [n for n in names if is_reader(n, set(names) - {n})]
    candidates = [n for n in names if n != readers[0]]
    # The reader that can't reach the store keeps trying.
    assert is_reader(readers[0], candidates)
    new_readers = [n for n in candidates if is_reader(n, set(candidates) - {n})]
    assert len(new_readers) == defaults.STORE_READERS
    assert set(readers[1:]) < set(new_readers)


def test_position_of_a_later_era_comes_after_all_others():
    positions = [
        Position(),
        Position(-1, 4),
        Position(0, -1),
        Position(0, 10**6),
        Position(1, -1),
        Position(1, 3),
        Position(2**53, 2**64 - 1),
    ]
    assert Position() == Position(-1, -1)
    for index, position in enumerate(positions):
        assert all(other < position for other in positions[:index])
        assert all(position < other for other in positions[index + 1 :])
        assert max(reversed(positions[: index + 1])) == position


@pytest.mark.parametrize("era", [-1, 0, 1])
def test_announced_positions_are_noted_in_their_eras(era):
    clock = FakeClock()
    tracker = make_follower(clock)
    noted = tracker.note_peer_positions(
        {"targets": 12, "config": 3, "unknown": 7}, {"targets": era, "unknown": 9}
    )
    assert noted == {"targets": Position(era, 12)}
    assert set(tracker.feeds) == {"targets"}
    feed = tracker.feed("targets")
    assert feed.peer_position == Position(era, 12)
    for earlier in ((era, 11), (era - 1, 90)):
        tracker.note_peer_positions({"targets": earlier[1]}, {"targets": earlier[0]})
        assert feed.peer_position == Position(era, 12)
    # Routers of earlier releases name no era: it is the one that is read here.
    assert tracker.note_peer_positions({"targets": 14}, {}) == {
        "targets": Position(0, 14)
    }
    assert feed.peer_position == max(Position(0, 14), Position(era, 12))


def make_follower(clock):
    tracker = FeedTracker("zz", clock)
    names = [f"router-{n}" for n in range(200)]
    tracker.feed("targets").advance(Position(0, 10))
    tracker.feed("targets").is_listed = True
    tracker.update_role(names)
    assert not tracker.is_reader
    return tracker


def test_follower_waits_for_forwarded_records_before_it_reads():
    clock = FakeClock()
    tracker = make_follower(clock)
    feed = tracker.feed("targets")
    tracker.note_peer_positions({"targets": 12}, {})
    assert not feed.is_behind(clock.now)
    clock.now += defaults.FEED_GAP_MS
    assert feed.is_behind(clock.now)
    feed.advance(Position(0, 12))
    assert not feed.is_behind(clock.now)
    # The next change restarts the wait.
    tracker.note_peer_positions({"targets": 13}, {})
    assert not feed.is_behind(clock.now)


def test_follower_reads_records_too_large_for_a_datagram_at_once():
    clock = FakeClock()
    tracker = make_follower(clock)
    tracker.require_read("targets", Position(0, 11))
    assert asyncio.run(tracker.wait_until_due("targets")) == 0


def test_router_that_hears_no_reader_becomes_one():
    tracker = make_follower(FakeClock())
    tracker.update_role([])
    assert asyncio.run(tracker.wait_until_due("targets")) == defaults.FEED_WAIT_MS


def test_only_the_first_reader_polls_at_the_full_rate():
    names = [f"router-{n}" for n in range(8)]
    trackers = [FeedTracker(name, FakeClock()) for name in names]
    for tracker in trackers:
        tracker.update_role(n for n in names if n != tracker._name)
    waits = [
        asyncio.run(tracker.wait_until_due("targets"))
        for tracker in trackers
        if tracker.is_reader
    ]
    assert sorted(waits) == [
        defaults.FEED_WAIT_MS,
        *[defaults.FEED_BACKUP_WAIT_MS] * (defaults.STORE_READERS - 1),
    ]
    assert sum(t.read_pause_ms == 0 for t in trackers if t.is_reader) == 1


def test_reset_feed_does_not_continue_at_its_old_position():
    feed = make_follower(FakeClock()).feed("targets")
    feed.reset()
    assert feed.position == Position(0, -1)
    assert feed.needs_listing
    feed.advance(Position(0, 30))
    assert feed.position == Position(0, 30)


ROUTER_COUNT = defaults.STORE_READERS + 2


async def _run_with_fleet(scenario):
    edge = Edge()
    try:
        await edge.start([ReplicaSpec("desk-0", "desk")], routers=ROUTER_COUNT)
        await edge.wait_until(
            lambda: (
                sum(r.feed_tracker.is_reader for r in edge.routers)
                == defaults.STORE_READERS
            )
        )
        await scenario(edge)
    finally:
        await edge.close()


def test_changes_of_targets_are_forwarded(monkeypatch):
    # Keep followers from reading the store themselves.
    monkeypatch.setattr(defaults, "FEED_GAP_MS", 1e9)

    async def scenario(edge):
        await edge.add_replica(ReplicaSpec("desk-1", "desk"))
        await edge.wait_until(
            lambda: all(len(r.dispatcher.targets()) == 2 for r in edge.routers)
        )

    asyncio.run(_run_with_fleet(scenario))


def test_followers_fetch_a_large_configuration_from_readers(monkeypatch):
    # Keep followers from reading the store themselves.
    monkeypatch.setattr(defaults, "FEED_GAP_MS", 1e9)
    monkeypatch.setattr(defaults, "PEER_CONFIG_INTERVAL_MS", 1e9)
    required = []
    monkeypatch.setattr(FeedTracker, "require_read", lambda *args: required.append(1))

    async def scenario(edge):
        for version in (2, 3, 4):
            edge.configure(version)
            await edge.wait_until(
                lambda version=version: all(
                    r.routing.version == version for r in edge.routers
                )
            )
        positions = {r.feed_tracker.feed("config").position for r in edge.routers}
        assert len(positions) == 1

    asyncio.run(_run_with_fleet(scenario))
    assert not required


def test_follower_reads_a_configuration_that_no_reader_hands_out(monkeypatch):
    monkeypatch.setattr(defaults, "FEED_GAP_MS", 1e9)
    monkeypatch.setattr(defaults, "PEER_CONFIG_INTERVAL_MS", 1e9)

    async def scenario(edge):
        for router in edge.routers:
            if router.feed_tracker.is_reader:
                router._internal_servers[2].on_request = lambda exchange: (
                    exchange.respond(404, [], b"")
                )
        edge.configure(2)
        await edge.wait_until(lambda: all(r.routing.version == 2 for r in edge.routers))

    asyncio.run(_run_with_fleet(scenario))


def test_router_that_cannot_reach_the_store_keeps_reading():
    tracker = make_follower(FakeClock())
    tracker.note_failure("targets")
    assert asyncio.run(tracker.wait_until_due("targets")) == 0


def test_follower_that_missed_a_change_reads_it():
    async def scenario(edge):
        follower = next(r for r in edge.routers if not r.feed_tracker.is_reader)
        follower.apply_records = lambda report: None
        edge.configure(2)
        await edge.add_replica(ReplicaSpec("desk-1", "desk"))
        await edge.wait_until(
            lambda: (
                len(follower.dispatcher.targets()) == 2
                and follower.routing.version == 2
            )
        )

    asyncio.run(_run_with_fleet(scenario))


def test_followers_replace_closed_readers():
    async def scenario(edge):
        readers = [r for r in edge.routers if r.feed_tracker.is_reader]
        for router in readers:
            await router.close()
            edge.routers.remove(router)
        edge.configure(2)
        await edge.wait_until(lambda: all(r.routing.version == 2 for r in edge.routers))

    asyncio.run(_run_with_fleet(scenario))


def test_removal_after_a_store_outage_is_held_by_all_routers():
    async def scenario(edge):
        edge.store.faults.mode = "busy"
        edge.store.reset_connections()
        await edge.wait_until(lambda: all(r.is_store_unreachable for r in edge.routers))
        # Registrations do not expire in a shorter outage.
        await asyncio.sleep(defaults.STORE_OUTAGE_MS / 1000 + 0.6)
        # The registration expires during the outage and is renewed soon after it.
        edge.unregister(edge.replicas["desk-0"])
        edge.store.faults.mode = ""
        await edge.wait_until(
            lambda: not all(r.is_store_unreachable for r in edge.routers)
        )
        await asyncio.sleep(0.3)
        assert all(len(r.dispatcher.targets()) == 1 for r in edge.routers)
        edge.register(edge.replicas["desk-0"])
        await asyncio.sleep(0.3)
        assert all(len(r.dispatcher.targets()) == 1 for r in edge.routers)

    asyncio.run(_run_with_fleet(scenario))


def test_all_pending_datagrams_are_read_at_once():
    """Reading one datagram per loop iteration makes a busy router's view stale."""
    count = 200

    async def scenario(edge):
        router = edge.routers[0]
        address = split_address(router.settings.peer)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for running in range(1, count + 1):
                report = TargetReport("desk", "desk-0", 0, running, 0)
                header = Gossip("router-x", 1, {}, True, [])
                for data in pack(header, [report]):
                    sender.sendto(data, address)
        for _ in range(3):
            await asyncio.sleep(0)
        load = router.dispatcher.queues["desk"].targets["desk-0"]
        assert load.running == count

    asyncio.run(_run_with_fleet(scenario))
