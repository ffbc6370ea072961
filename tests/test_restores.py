"""The store returns from older copies: what it lost, routers must not lose."""

import asyncio
import json
import random

import msgspec
import pytest
from test_availability import turn_away

from snipedeal_direct import defaults
from snipedeal_direct.following import Position
from snipedeal_direct.gossip import FeedSnapshot
from snipedeal_direct.gossip import Gossip
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.gossip import StoreSpan
from snipedeal_direct.gossip import pack
from snipedeal_direct.model import TargetState
from snipedeal_standins.edge import Edge
from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import make_router
from snipedeal_standins.replica import ReplicaSpec

#: One router more than there are readers, so that one follows.
ROUTER_COUNT = defaults.STORE_READERS + 1
#: Time in which a configuration must be in force everywhere after its ack, s.
CONFIG_LIMIT_S = 2.0
#: Time after a return of the store in which machines need not have caught up, s.
STABLE_S = 3.0
#: Time in which a version that all routers have is known to one that starts, s.
KNOWN_TO_ALL_S = 0.5
#: Time after a return in which an entry expires whose target is silent, s: three
#: heartbeats, and two seconds in which targets register again.
ENTRY_LIMIT_S = 3 * 1.2 + 2.0


def run_fleet(scenario, routers=ROUTER_COUNT, limit_s=60):
    async def play():
        edge = Edge()
        try:
            specs = [ReplicaSpec(f"desk-{n}", "desk") for n in range(3)]
            await edge.start(specs, routers=routers)
            readers = min(routers, defaults.STORE_READERS)
            await edge.wait_until(
                lambda: sum(r.feed_tracker.is_reader for r in edge.routers) == readers
            )
            async with asyncio.timeout(limit_s):
                await scenario(edge)
        finally:
            await edge.close()

    asyncio.run(play())


def followers(edge):
    return [r for r in edge.routers if not r.feed_tracker.is_reader]


def states(router):
    return {target.id: target.state for target in router.dispatcher.targets()}


def era_read(router):
    """Return the era in which a router read the targets last."""
    return router.metrics.store_era.labels("targets")._value.get()


def keys(router):
    return set(router.routing.table.customers)


async def expect(check, limit_s):
    async with asyncio.timeout(limit_s):
        while not check():
            await asyncio.sleep(0.01)


def test_end_that_overtakes_an_old_position_hides_no_records():
    async def scenario(edge):
        copy = edge.store.copy()
        edge.configure(2)
        edge.register(edge.replicas["desk-1"], state="draining", sequence=2)
        await expect(
            lambda: all(r.routing.version == 2 for r in edge.routers), CONFIG_LIMIT_S
        )
        edge.store.restore(copy)
        # Written before any router reads: the old positions exist again.
        edge.configure(3)
        for number in range(3):
            edge.store.put("keyed.op", f"note-{number}", b"x")
        edge.register(edge.replicas["desk-1"], state="draining", sequence=3)
        edge.register(edge.replicas["desk-2"], state="draining", sequence=3)
        edge.register(edge.replicas["desk-0"], sequence=3)
        await expect(
            lambda: all(r.routing.version == 3 for r in edge.routers), CONFIG_LIMIT_S
        )
        wanted = {
            "desk-0": TargetState.READY,
            "desk-1": TargetState.LEAVING,
            "desk-2": TargetState.LEAVING,
        }
        await expect(
            lambda: all(states(r) == wanted for r in edge.routers), CONFIG_LIMIT_S
        )

    run_fleet(scenario)


def test_changes_after_a_restore_reach_a_follower_that_is_cut_from_the_store(
    monkeypatch,
):
    async def scenario(edge):
        copy = edge.store.copy()
        edge.register(edge.replicas["desk-1"], sequence=2)
        edge.register(edge.replicas["desk-1"], sequence=3)
        (follower,) = followers(edge)
        await asyncio.sleep(0.3)
        turn_away(follower, monkeypatch)
        edge.store.restore(copy)
        await asyncio.sleep(0.3)
        edge.register(edge.replicas["desk-1"], state="draining", sequence=9)
        edge.configure(2)
        await expect(
            lambda: (
                states(follower)["desk-1"] is TargetState.LEAVING
                and follower.routing.version == 2
            ),
            STABLE_S + CONFIG_LIMIT_S,
        )

    run_fleet(scenario)


def test_records_of_a_former_era_from_a_peer_are_not_applied():
    async def scenario(edge):
        copy = edge.store.copy()
        router = edge.routers[0]
        reports = []
        monkeyed = router.apply_records
        router.apply_records = lambda report, sender: (
            reports.append((report, sender)),
            monkeyed(report, sender),
        )
        edge.register(edge.replicas["desk-1"], sequence=2)
        await edge.wait_until(lambda: bool(reports))
        edge.store.restore(copy)
        edge.register(edge.replicas["desk-1"], state="draining", sequence=5)
        await expect(
            lambda: states(router)["desk-1"] is TargetState.LEAVING, CONFIG_LIMIT_S
        )
        position = router.feed_tracker.feed("targets").position
        for report, sender in reports[:1]:
            router.apply_records(report, sender)
        assert states(router)["desk-1"] is TargetState.LEAVING
        assert router.feed_tracker.feed("targets").position == position

    run_fleet(scenario)


@pytest.mark.parametrize("position", [Position(99, 3), Position(1, 10**6)])
def test_position_that_the_store_does_not_have_is_given_up(position):
    async def scenario(edge):
        router = edge.routers[0]
        feed = router.feed_tracker.feed("targets")
        router.apply_snapshot(
            FeedSnapshot("targets", position.era, position.offset, ())
        )
        assert feed.position == position
        edge.store.reset_connections()
        await expect(lambda: feed.position.era == 1, CONFIG_LIMIT_S)
        await edge.add_replica(ReplicaSpec("desk-9", "desk"))
        await expect(lambda: "desk-9" in states(router), CONFIG_LIMIT_S)
        assert len(edge.store.calls) < 1_000

    run_fleet(scenario)


def test_target_that_leaves_is_not_ready_again_by_an_old_entry():
    async def scenario(edge):
        copy = edge.store.copy()
        edge.register(edge.replicas["desk-1"], state="draining", sequence=7)
        await edge.wait_until(
            lambda: all(
                states(r)["desk-1"] is TargetState.LEAVING for r in edge.routers
            )
        )
        edge.store.restore(copy)
        await expect(
            lambda: all(era_read(r) == 2 for r in edge.routers),
            STABLE_S,
        )
        assert all(states(r)["desk-1"] is TargetState.LEAVING for r in edge.routers)
        # A later entry is believed at once.
        edge.register(edge.replicas["desk-1"], sequence=8)
        await expect(
            lambda: all(states(r)["desk-1"] is TargetState.READY for r in edge.routers),
            CONFIG_LIMIT_S,
        )

    run_fleet(scenario)


def test_target_that_is_gone_does_not_return_by_an_old_entry():
    async def scenario(edge):
        copy = edge.store.copy()
        edge.unregister(edge.replicas["desk-1"])
        await edge.wait_until(lambda: all(len(states(r)) == 2 for r in edge.routers))
        edge.store.restore(copy)
        await expect(
            lambda: all(era_read(r) == 2 for r in edge.routers),
            STABLE_S,
        )
        assert all(len(states(r)) == 2 for r in edge.routers)
        # It is there all the same if its entry outlives a target that is silent.
        await expect(
            lambda: all(len(states(r)) == 3 for r in edge.routers),
            ENTRY_LIMIT_S,
        )

    run_fleet(scenario)


def test_target_that_the_copy_does_not_have_is_kept_until_it_registers_again():
    async def scenario(edge):
        copy = edge.store.copy()
        replica = await edge.add_replica(ReplicaSpec("desk-9", "desk"))
        await edge.wait_until(lambda: all(len(states(r)) == 4 for r in edge.routers))
        edge.store.restore(copy)
        for _ in range(18):
            await asyncio.sleep(0.1)
            assert all(len(states(r)) == 4 for r in edge.routers)
        edge.register(replica, sequence=2)
        await asyncio.sleep(1.5)
        assert all(len(states(r)) == 4 for r in edge.routers)

    run_fleet(scenario)


def test_registration_of_a_router_that_the_copy_lost_is_written_again():
    async def scenario(edge):
        copy = edge.store.copy()
        joined = await edge.add_router()
        await edge.wait_until(lambda: joined.is_ready)
        name = joined.settings.name
        await edge.wait_until(lambda: name in edge.store.topic("keyed.routers").newest)
        edge.store.restore(copy)
        assert name not in edge.store.topic("keyed.routers").newest
        await expect(lambda: name in edge.store.topic("keyed.routers").newest, STABLE_S)

    run_fleet(scenario)


def test_new_router_does_not_serve_an_older_configuration_than_its_peers():
    async def scenario(edge):
        copy = edge.store.copy()
        edge.configure(2, tenants=[{"name": "two", "apiKeys": ["key-two"]}])
        await edge.wait_until(lambda: all(r.routing.version == 2 for r in edge.routers))
        edge.store.restore(copy)
        joined = make_router("router-new", edge.store.address)
        versions = set()

        async def observe():
            while True:
                versions.add(joined.routing.version)
                await asyncio.sleep(0.001)

        observer = asyncio.create_task(observe())
        await joined.start()
        edge.routers.append(joined)
        await expect(lambda: joined.is_ready, STABLE_S)
        await asyncio.sleep(0.2)
        observer.cancel()
        assert versions == {-1, 2}

    run_fleet(scenario)


# -- invariants among random restores, cuts, joins and releases ------------------------


class World:
    """What the operator and the targets have written, and write again after a restore.

    :param lag_s: time after a return until they have written again.
    """

    def __init__(self, edge, rng, monkeypatch):
        self.edge = edge
        self.rng = rng
        self.monkeypatch = monkeypatch
        self.version = 1
        self.key_count = 1
        self.document = json.dumps(configuration(1)).encode()
        self.entries = {}
        self.sequence = 1
        self.copies = []
        self.confirmed = {}
        self.gone = set()
        self.cuts = []
        # Times, and the lowest version in force then at the routers that are not cut.
        self.common = []
        self.violations = []
        for replica in edge.replicas.values():
            self.entries[replica.spec.id] = replica.registration()

    def copy(self):
        self.copies = [*self.copies[-3:], self.edge.store.copy()]

    def publish(self):
        """Publish a version that takes the key of the one before away."""
        self.version += self.rng.randrange(1, 4)
        tenants = [{"name": "one", "apiKeys": ["key-one", f"key-{self.version}"]}]
        document = configuration(self.version, tenants=tenants)
        self.document = json.dumps(document).encode()
        self.edge.store.put("keyed.op", "config", self.document)

    def write_target(self, name, **changes):
        self.sequence += 1
        self.entries[name] |= {"sequence": self.sequence, **changes}
        value = json.dumps(self.entries[name]).encode()
        self.edge.store.put("keyed.servers", name, value)

    def release(self):
        """Let a target leave, or register a new one under a new name."""
        ready = [n for n, e in self.entries.items() if e["state"] == "ready"]
        if len(ready) > 2:
            name = self.rng.choice(ready)
            self.write_target(name, state="draining")
            return
        name = f"desk-{len(self.gone)}-{self.sequence}"
        self.entries[name] = next(iter(self.entries.values())) | {
            "state": "ready",
            "born": 1_000 + self.sequence,
        }
        self.write_target(name)

    def remove(self):
        leaving = [n for n, e in self.entries.items() if e["state"] == "draining"]
        if leaving:
            name = self.rng.choice(leaving)
            del self.entries[name]
            self.gone.add(name)
            self.edge.store.put("keyed.servers", name, b"")

    async def restore(self):
        if not self.copies:
            return
        store = self.edge.store
        store.faults.mode = self.rng.choice(["reset", "silent", "busy"])
        store.reset_connections()
        await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        store.restore(self.rng.choice(self.copies))
        store.faults.mode = ""
        self.copies = []
        if self.rng.random() < 0.5:
            await self.join()
        if self.rng.random() < 0.5:
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        self.write_again()

    def write_again(self):
        """Write what the copy lacks, in any order."""
        store = self.edge.store
        newest = store.topic("keyed.op").newest
        if newest.get("config", (b"",))[0] != self.document:
            store.put("keyed.op", "config", self.document)
        targets = store.topic("keyed.servers").newest
        names = sorted(targets.keys() | self.entries.keys())
        self.rng.shuffle(names)
        for name in names:
            if name not in self.entries:
                store.put("keyed.servers", name, b"")
                continue
            value = json.dumps(self.entries[name]).encode()
            if targets.get(name, (b"",))[0] != value:
                self.write_target(name)

    async def cut(self):
        """Turn a router away from the store for a time."""
        router = self.rng.choice(self.edge.routers)
        if router in self.cuts:
            return
        self.cuts.append(router)
        end = turn_away(router, self.monkeypatch)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        end()
        self.cuts.remove(router)

    async def freeze(self):
        """Keep a router from all calls and datagrams for a time."""
        router = self.rng.choice(self.edge.routers)
        if router in self.cuts:
            return
        self.cuts.append(router)
        end = turn_away(router, self.monkeypatch)
        router.peers.receive = lambda data, address: None
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        del router.peers.receive
        end()
        self.cuts.remove(router)

    async def join(self):
        if len(self.edge.routers) < ROUTER_COUNT + 3:
            await self.edge.add_router()

    def check(self):
        """Check what must hold at any moment, whatever the store has lost."""
        self.common_version()
        for router in self.edge.routers:
            name, version = router.settings.name, router.routing.version
            if version < self.confirmed.get(name, -1):
                self.violations.append(f"{name} went back to version {version}")
            joins = version > -1 and self.confirmed.get(name, -1) < 0
            if joins and router not in self.cuts and version < self.common_version():
                self.violations.append(f"{name} joined with version {version}")
            self.confirmed[name] = version
            listed = states(router)
            for key, marks in self.known(name).items():
                was_gone = marks == "gone" and key in listed
                if key in self.gone and was_gone:
                    self.violations.append(f"{name} lists {key}, which is gone")
                is_ready = listed.get(key) is TargetState.READY
                if marks is TargetState.LEAVING and is_ready:
                    self.violations.append(f"{name} takes {key} for ready again")
            known = self.known(name)
            for key in known.keys() | listed.keys():
                known[key] = listed.get(key, "gone")

    def common_version(self):
        """Return the version that all others had a moment before, or a later one."""
        versions = [
            router.routing.version
            for router in self.edge.routers
            if router.is_ready and router not in self.cuts
        ]
        now_s = asyncio.get_running_loop().time()
        if versions:
            self.common.append((now_s, min(versions)))
        while len(self.common) > 1 and self.common[1][0] < now_s - KNOWN_TO_ALL_S:
            self.common.pop(0)
        return self.common[0][1] if self.common else -1

    def known(self, name):
        return self.confirmed.setdefault(f"targets of {name}", {})

    def has_converged(self):
        ready = {
            name: TargetState.READY if e["state"] == "ready" else TargetState.LEAVING
            for name, e in self.entries.items()
        }
        registered = self.edge.store.topic("keyed.routers").newest
        return all(
            router.routing.version == self.version
            and keys(router) == {"key-one", f"key-{self.version}"}
            and states(router) == ready
            and router.settings.name in registered
            for router in self.edge.routers
        )


async def play_restores(edge, seed, monkeypatch):
    rng = random.Random(seed)
    world = World(edge, rng, monkeypatch)
    world.publish()
    tasks = []
    actions = [world.copy, world.copy, world.publish, world.release, world.remove]
    background = [world.restore, world.cut, world.freeze, world.join]
    is_running = True

    async def check():
        while is_running:
            world.check()
            await asyncio.sleep(0.005)

    checker = asyncio.create_task(check())
    restore = None
    for _ in range(30):
        if rng.random() < 0.7:
            # The store that is away takes no writes.
            if restore is None or restore.done():
                rng.choice(actions)()
        else:
            action = rng.choice(background)
            if action != world.restore or restore is None or restore.done():
                task = asyncio.create_task(action())
                tasks.append(task)
                restore = task if action == world.restore else restore
        await asyncio.sleep(rng.uniform(0.0, 0.25))
    await asyncio.gather(*tasks)
    world.write_again()
    try:
        await expect(world.has_converged, ENTRY_LIMIT_S + 3)
    except TimeoutError:
        world.violations.append(f"not converged: {describe(world)}")
    is_running = False
    await checker
    assert world.violations[:5] == []


def describe(world):
    registered = world.edge.store.topic("keyed.routers").newest
    wanted = {name: entry["state"] for name, entry in world.entries.items()}
    found = [
        (
            router.settings.name,
            router.routing.version,
            {key: state.value for key, state in states(router).items()},
            router.settings.name in registered,
        )
        for router in world.edge.routers
    ]
    return f"wanted {world.version} {wanted}, found {found}"


@pytest.mark.parametrize("seed", range(1, 7))
def test_invariants_hold_among_restores_cuts_joins_and_releases(seed, monkeypatch):
    run_fleet(lambda edge: play_restores(edge, seed, monkeypatch))


# -- routers of earlier releases -------------------------------------------------------


class FormerRecordsReport(msgspec.Struct, array_like=True, tag="r", frozen=True):
    feed: str
    start: int
    end: int
    records: tuple[tuple[str, bytes | None], ...]


class FormerStoreSpan(msgspec.Struct, array_like=True, frozen=True):
    age_ms: int
    length_ms: int


class FormerGossip(msgspec.Struct, array_like=True):
    sender: str
    version: int
    positions: dict[str, int]
    is_store_reachable: bool
    reports: list[FormerRecordsReport]
    store_span: FormerStoreSpan | None = None


def test_router_of_an_earlier_release_reads_positions_without_their_eras():
    records = RecordsReport("targets", 4, 5, (("a", b"x"),), 2)
    header = Gossip(
        "a", 1, {"targets": 5}, True, [], StoreSpan(1, 2, 3, 4), {"targets": 2}
    )
    (data,) = pack(header, [records])
    former = msgspec.msgpack.decode(data, type=FormerGossip)
    assert former.positions == {"targets": 5}
    assert former.reports == [FormerRecordsReport("targets", 4, 5, (("a", b"x"),))]


def test_positions_of_an_earlier_release_count_in_the_era_that_is_read():
    async def scenario(edge):
        router = edge.routers[0]
        offset = router.feed_tracker.feed("targets").position.offset
        value = json.dumps(
            edge.replicas["desk-1"].registration(state="draining", sequence=5)
        ).encode()
        former = FormerGossip("router-x", 1, {"targets": offset + 1}, True, [])
        former.reports.append(
            FormerRecordsReport("targets", offset, offset + 1, (("desk-1", value),))
        )
        router.peers.receive(msgspec.msgpack.encode(former), ("127.0.0.1", 9))
        assert states(router)["desk-1"] is TargetState.LEAVING

    run_fleet(scenario, routers=1)
