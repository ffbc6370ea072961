"""Environment of a soak test: store, replicas, routers and the relays between them."""

import asyncio
import json
import pathlib
import random
import signal
import time
import typing as t

import attrs

from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import route
from snipedeal_standins.edge_demo import RouterProcess
from snipedeal_standins.metastore import MetaStore
from snipedeal_standins.relay import Relay
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

#: Time after the end of a fault during which its effects may continue, s: kernel
#: connection timeouts, and the routers' own back-off.
FAULT_SETTLE_S = 6.0
#: Time for which a crashed replica refuses connections, s.
_RESTART_DELAY_S = 0.6
#: Zone of the last plain replica and of the last engine in runs with cold replicas.
FAR_ZONE = "zone-b"
#: What a cold engine takes, requests a second, and for how long an engine is cold, s.
COLD_PER_S = 4.0
COLD_START_S = 3.0


@attrs.frozen
class SoakPlan:
    """Seed, size and duration of a soak run.

    :param has_load_faults: whether requests may crash engines and engines may name
        rate limits. Without these faults, seeds of earlier releases draw what they drew
        then.
    :param has_state_faults: the same for replicas that say of themselves that they
        leave or want a pause, and for odd entries.
    :param has_restores: the same for returns of the store from old copies.
    :param has_cold_faults: the same for replicas that turn cold and evacuated zones.
    """

    seed: int = 1
    seconds: float = 20.0
    routers: int = 3
    plain: int = 2
    engines: int = 3
    callers: int = 8
    has_load_faults: bool = True
    has_state_faults: bool = True
    has_restores: bool = True
    has_cold_faults: bool = True


@attrs.define
class FaultPeriod:
    """The period during which a fault is active, in monotonic s.

    :param subjects: names of the routers and ids of the replicas it may affect.
    """

    name: str
    subjects: tuple[str, ...]
    from_s: float
    to_s: float = float("inf")

    def end(self) -> None:
        """Record that the fault has ended."""
        self.to_s = time.monotonic()

    def may_affect(self, subject: str, from_s: float, to_s: float) -> bool:
        """Return whether the fault may have affected a subject in a period."""
        return (
            subject in self.subjects
            and self.from_s <= to_s
            and self.to_s + FAULT_SETTLE_S >= from_s
        )


@attrs.frozen
class Stop:
    """A planned stop of a router.

    :param from_s: monotonic time at which SIGTERM was sent.
    :param to_s: monotonic time at which the process had exited.
    """

    router: str
    from_s: float
    to_s: float


@attrs.define
class NamedLimit:
    """A rate limit that a replica names, requests a second, in monotonic s."""

    replica: str
    limit: float
    from_s: float
    to_s: float = float("inf")


@attrs.frozen(eq=False)
class Leaving:
    """A replica that says from a monotonic time on, s, that it leaves."""

    replica: Replica
    from_s: float


@attrs.frozen(eq=False)
class Cold:
    """A replica that is cold, in monotonic s."""

    replica: Replica
    from_s: float
    to_s: float


@attrs.define(eq=False)
class Evacuated:
    """A zone that the operator has evacuated, in monotonic s."""

    zone: str
    from_s: float
    to_s: float = float("inf")


@attrs.define(eq=False)
class RelayedRouter:
    """A router process with the relays that carry its connections.

    :param caller_relay: relay between the callers and the router.
    :param store_relay: relay between the router and the store.
    :param start_number: number of restarts so far.
    :param is_expected_down: whether a fault has stopped or killed the process.
    """

    process: RouterProcess
    caller_relay: Relay
    store_relay: Relay
    start_number: int = 0
    is_expected_down: bool = False

    @property
    def name(self) -> str:
        """Name of the router."""
        return self.process.name


@attrs.define(eq=False)
class RelayedReplica:
    """A replica and its relay, whose address is registered in the store."""

    replica: Replica
    relay: Relay

    @property
    def id(self) -> str:
        """Id of the replica."""
        return self.replica.spec.id


class SoakEnvironment:
    """Start, own and stop all components of a soak run.

    :param directory: where the routers' settings and logs are written.
    """

    def __init__(self, plan: SoakPlan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.directory = directory
        self.rng = random.Random(plan.seed)
        self.store = MetaStore()
        self.routers: list[RelayedRouter] = []
        self.replicas: list[RelayedReplica] = []
        self.replaced_replicas: list[Replica] = []
        self.fault_periods: list[FaultPeriod] = []
        self.stops: list[Stop] = []
        self.limits: list[NamedLimit] = []
        self.leavings: list[Leaving] = []
        self.colds: list[Cold] = []
        self.evacuations: list[Evacuated] = []
        # The part of prompts that crashes engines now, and all crashes by part.
        self.crashing_part = ""
        self.crashes_s: dict[str, list[float]] = {}
        self.version = 0
        self._sequence = 0
        self._restarts: set[asyncio.Task[None]] = set()

    # -- lifecycle -----------------------------------------------------------------

    async def start(self) -> None:
        """Start all components; the routers one after the other."""
        await self.store.start()
        self.publish_version()
        for number in range(self.plan.plain):
            spec = ReplicaSpec(f"desk-{number}", "desk")
            await self.add_replica(self._place(spec, number == self.plan.plain - 1))
        for number in range(self.plan.engines):
            spec = engine_spec(f"model-{number}")
            await self.add_replica(self._place(spec, number == self.plan.engines - 1))
        for number in range(self.plan.routers):
            await self._add_router(f"router-{number}")

    async def close(self) -> None:
        """Kill the routers that still run and close all other components."""
        for router in self.routers:
            process = router.process.process
            if process is not None and process.returncode is None:
                router.process.signal(signal.SIGKILL)
                await router.process.wait()
            await router.caller_relay.close()
            await router.store_relay.close()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        for relayed in self.replicas:
            await relayed.relay.close()
            await relayed.replica.close()
        await self.store.close()

    async def _add_router(self, name: str) -> None:
        store_relay = Relay(self.store.address)
        await store_relay.start()
        process = RouterProcess(name, store_relay.address, self.directory)
        caller_relay = Relay(f"127.0.0.1:{process.listen}")
        await caller_relay.start()
        self.routers.append(RelayedRouter(process, caller_relay, store_relay))
        await process.start()

    def _place(self, spec: ReplicaSpec, is_last: bool) -> ReplicaSpec:
        """Return a spec in the zone that may be evacuated, if it is the last one."""
        is_far = is_last and self.plan.has_cold_faults
        return attrs.evolve(spec, zone=FAR_ZONE) if is_far else spec

    # -- replicas --------------------------------------------------------------------

    async def add_replica(self, spec: ReplicaSpec) -> None:
        """Start a replica behind a relay and register it."""
        replica = Replica(spec)
        await replica.start()
        relay = Relay(replica.address)
        await relay.start()
        relayed = RelayedReplica(replica, relay)
        replica.on_crash = lambda crashed: self._on_crash(relayed)
        self.replicas.append(relayed)
        self.register(relayed)

    def _on_crash(self, relayed: RelayedReplica) -> None:
        self.crashes_s.setdefault(self.crashing_part, []).append(time.monotonic())
        task = asyncio.create_task(self._replace_crashed(relayed))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _replace_crashed(self, relayed: RelayedReplica) -> None:
        """Refuse connections for a while, then start a successor."""
        crashed = relayed.replica
        period = self.begin_fault("crash", relayed.id, crashed.successor_id)
        await relayed.relay.close()
        await asyncio.sleep(_RESTART_DELAY_S)
        successor = await crashed.restart()
        self.replaced_replicas.append(crashed)
        relayed.replica = successor
        await relayed.relay.start()
        self.store.put("keyed.servers", crashed.spec.id, b"")
        self.register(relayed)
        period.end()

    async def wait_for_restarts(self) -> None:
        """Wait until all crashed replicas are back."""
        await asyncio.gather(*self._restarts)

    async def restart_replica(self, relayed: RelayedReplica, new_id: str) -> None:
        """Replace a replica by a new one at the same address."""
        await self.wait_for_restarts()
        old_replica = relayed.replica
        port = int(old_replica.address.rpartition(":")[2])
        await old_replica.close()
        self.replaced_replicas.append(old_replica)
        relayed.replica = Replica(attrs.evolve(old_replica.spec, id=new_id))
        relayed.replica.on_crash = old_replica.on_crash
        relayed.replica.faults.crashing_parts = old_replica.faults.crashing_parts
        await relayed.replica.start(port)
        if new_id != old_replica.spec.id:
            self.store.put("keyed.servers", old_replica.spec.id, b"")
        self.register(relayed, born=int(time.time() * 1000))

    def register(self, relayed: RelayedReplica, **changes: t.Any) -> None:
        """Write a replica's registration to the store."""
        self._sequence += 1
        changes = {"sequence": self._sequence, **changes}
        entry = relayed.replica.registration(address=relayed.relay.address, **changes)
        self.store.put("keyed.servers", relayed.id, json.dumps(entry).encode())

    def unregister(self, relayed: RelayedReplica) -> None:
        """Delete a replica's registration from the store."""
        self.store.put("keyed.servers", relayed.id, b"")

    def all_replicas(self) -> list[Replica]:
        """Return all replicas, including those that were replaced."""
        return self.replaced_replicas + [relayed.replica for relayed in self.replicas]

    # -- configuration -----------------------------------------------------------------

    def publish_version(self) -> None:
        """Publish the next configuration version.

        Only this version has the route ``ver-VERSION``, so that an answer shows
        which version the router acted on.
        """
        self.version += 1
        document = configuration(self.version)
        if self.plan.has_cold_faults:
            model = document["services"][1]
            model |= {"coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
        document["routes"].append(
            route(f"ver-{self.version}", "idempotent", "desk", public=True)
        )
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    # -- fault periods -----------------------------------------------------------------

    def begin_fault(self, name: str, *subjects: str) -> FaultPeriod:
        """Record that a fault begins."""
        period = FaultPeriod(name, subjects, time.monotonic())
        self.fault_periods.append(period)
        return period

    def is_affected(self, subject: str, from_s: float, to_s: float) -> bool:
        """Return whether any fault may have affected a subject in a period."""
        return any(
            period.may_affect(subject, from_s, to_s) for period in self.fault_periods
        )


def engine_spec(name: str) -> ReplicaSpec:
    """Return the spec of a model engine whose streams last about 100 ms."""
    return ReplicaSpec(name, "model", slots=64, read_rate=200.0, event_ms=20.0)
