"""What a soak runs on: store, replicas, router processes, and relays between."""

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

#: A fault's effects may last this long after it was healed, s: kernel time-outs
#: of connections, and pauses of the routers' own.
AFTERMATH_S = 6.0


@attrs.frozen
class SoakPlan:
    """Size and length of a soak."""

    seed: int = 1
    seconds: float = 20.0
    routers: int = 3
    plain: int = 2
    engines: int = 3
    callers: int = 8


@attrs.define
class Trouble:
    """A fault while it lasts.

    :param subjects: routers and replicas that it may touch; ``store``.
    """

    name: str
    subjects: tuple[str, ...]
    from_s: float
    to_s: float = float("inf")

    def end(self) -> None:
        """Note that the fault is healed."""
        self.to_s = time.monotonic()

    def touches(self, subject: str, from_s: float, to_s: float) -> bool:
        """Whether it may have had an effect on a subject in some time."""
        return (
            subject in self.subjects
            and self.from_s <= to_s
            and self.to_s + AFTERMATH_S >= from_s
        )


@attrs.frozen
class Stop:
    """A planned stop of a router.

    :param from_s: when SIGTERM was sent.
    :param to_s: when the process had ended.
    """

    router: str
    from_s: float
    to_s: float


@attrs.define(eq=False)
class StagedRouter:
    """A router process, and the relays to it and from it to the store.

    :param start_number: counts its starts.
    :param is_expected_down: whether a fault has ended the process.
    """

    process: RouterProcess
    front: Relay
    store: Relay
    start_number: int = 0
    is_expected_down: bool = False

    @property
    def name(self) -> str:
        """Name of the router."""
        return self.process.name


@attrs.define(eq=False)
class StagedReplica:
    """A replica and the relay under whose address it is registered."""

    replica: Replica
    relay: Relay

    @property
    def id(self) -> str:
        """Identifier of the replica."""
        return self.replica.spec.id


class Stage:
    """Own everything that a soak runs.

    :param directory: keeps settings and logs of the routers.
    """

    def __init__(self, plan: SoakPlan, directory: pathlib.Path) -> None:
        self.plan = plan
        self.directory = directory
        self.chance = random.Random(plan.seed)
        self.store = MetaStore()
        self.routers: list[StagedRouter] = []
        self.replicas: list[StagedReplica] = []
        self.retired: list[Replica] = []
        self.troubles: list[Trouble] = []
        self.stops: list[Stop] = []
        self.version = 0

    # -- life ----------------------------------------------------------------------

    async def start(self) -> None:
        """Start everything; routers one after the other."""
        await self.store.start()
        self.configure()
        for number in range(self.plan.plain):
            await self.add_replica(ReplicaSpec(f"desk-{number}", "desk"))
        for number in range(self.plan.engines):
            await self.add_replica(engine_spec(f"model-{number}"))
        for number in range(self.plan.routers):
            await self._add_router(f"router-{number}")

    async def close(self) -> None:
        """End the processes that were started, and all else."""
        for router in self.routers:
            process = router.process.process
            if process is not None and process.returncode is None:
                router.process.signal(signal.SIGKILL)
                await router.process.wait()
            await router.front.close()
            await router.store.close()
        for staged in self.replicas:
            await staged.relay.close()
            await staged.replica.close()
        await self.store.close()

    async def _add_router(self, name: str) -> None:
        store = Relay(self.store.address)
        await store.start()
        process = RouterProcess(name, store.address, self.directory)
        front = Relay(f"127.0.0.1:{process.listen}")
        await front.start()
        self.routers.append(StagedRouter(process, front, store))
        await process.start()

    # -- replicas --------------------------------------------------------------------

    async def add_replica(self, spec: ReplicaSpec) -> None:
        """Start and register a replica."""
        replica = Replica(spec)
        await replica.start()
        relay = Relay(replica.address)
        await relay.start()
        staged = StagedReplica(replica, relay)
        self.replicas.append(staged)
        self.register(staged)

    async def restart_replica(self, staged: StagedReplica, new_id: str) -> None:
        """Replace a replica by one that has its address."""
        before = staged.replica
        port = int(before.address.rpartition(":")[2])
        await before.close()
        self.retired.append(before)
        staged.replica = Replica(attrs.evolve(before.spec, id=new_id))
        await staged.replica.start(port)
        if new_id != before.spec.id:
            self.store.put("keyed.servers", before.spec.id, b"")
        self.register(staged, born=int(time.time() * 1000))

    def register(self, staged: StagedReplica, **changes: t.Any) -> None:
        """Write a replica's entry."""
        entry = staged.replica.entry(address=staged.relay.address, **changes)
        self.store.put("keyed.servers", staged.id, json.dumps(entry).encode())

    def unregister(self, staged: StagedReplica) -> None:
        """Drop a replica's entry."""
        self.store.put("keyed.servers", staged.id, b"")

    def all_replicas(self) -> list[Replica]:
        """Return all replicas, those that have ended included."""
        return self.retired + [staged.replica for staged in self.replicas]

    # -- configuration -----------------------------------------------------------------

    def configure(self) -> None:
        """Publish the next version; it alone has the route ``ver-VERSION``."""
        self.version += 1
        document = configuration(self.version)
        document["routes"].append(
            route(f"ver-{self.version}", "idempotent", "desk", public=True)
        )
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    # -- troubles ----------------------------------------------------------------------

    def begin_trouble(self, name: str, *subjects: str) -> Trouble:
        """Note that a fault begins."""
        trouble = Trouble(name, subjects, time.monotonic())
        self.troubles.append(trouble)
        return trouble

    def is_touched(self, subject: str, from_s: float, to_s: float) -> bool:
        """Whether a fault may have had an effect on a subject in some time."""
        return any(trouble.touches(subject, from_s, to_s) for trouble in self.troubles)


def engine_spec(name: str) -> ReplicaSpec:
    """Return a model engine whose streams last for some tenths of a second."""
    return ReplicaSpec(name, "model", slots=64, read_rate=200.0, event_ms=20.0)
