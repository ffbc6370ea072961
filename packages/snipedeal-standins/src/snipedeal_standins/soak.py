"""Soak test: inject random faults into real routers and check invariants.

The routers run as separate processes on loopback; the metadata store and the
replicas run in this process. All faults are external to the routers: signals,
misbehavior of the store and the replicas, and TCP relays on the connections from
callers, to the store and to the replicas. Faults may overlap.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import shutil
import sys
import tempfile
import time

import attrs
import defopt

from snipedeal_standins import soak_checks as checks
from snipedeal_standins.edge import CallerConnection
from snipedeal_standins.edge_demo import STREAM_KINDS
from snipedeal_standins.edge_demo import prompt_headers
from snipedeal_standins.soak_checks import SoakCall
from snipedeal_standins.soak_faults import COLD_FAULTS
from snipedeal_standins.soak_faults import FAULTS
from snipedeal_standins.soak_faults import LOAD_FAULTS
from snipedeal_standins.soak_faults import RESTORE_FAULTS
from snipedeal_standins.soak_faults import STATE_FAULTS
from snipedeal_standins.soak_stage import RelayedRouter
from snipedeal_standins.soak_stage import SoakEnvironment
from snipedeal_standins.soak_stage import SoakPlan

#: Maximum number of faults that are active at the same time.
_MAX_CONCURRENT_FAULTS = 4
#: Time that each router in turn has to serve the newest version after the faults, s.
RECOVERY_LIMIT_S = 20.0
#: Time after which a draining replica must not receive new requests, s.
_DRAIN_LIMIT_S = 4.0
_RECOVERY_LOAD_S = 2.0
_CHECK_INTERVAL_S = 1.0
#: Fraction of the prompts that have the part that crashes engines.
_CRASHING_FRACTION = 0.05
_CREDENTIALS = {"one": "key-one", "two": "key-two"}
_REQUEST_KINDS = ("lookup", "change", "chat", "draft", "version")


@attrs.define(eq=False)
class Callers:
    """Concurrent callers that reuse their connections where possible.

    :param calls: all requests sent, in order.
    :param prefix: part of the request ids; distinguishes groups of callers.
    """

    env: SoakEnvironment
    rng: random.Random
    calls: list[SoakCall] = attrs.Factory(list)
    prefix: str = ""
    is_ending: bool = False

    async def run(self, count: int) -> None:
        """Send requests until ``is_ending`` is set.

        :param count: number of concurrent callers.
        """
        await asyncio.gather(*(self._run_one() for _ in range(count)))

    async def _run_one(self) -> None:
        connections: dict[str, CallerConnection] = {}
        while not self.is_ending:
            router = self.rng.choice(self.env.routers)
            connection = connections.get(router.name)
            if connection is None:
                host, _, port = router.caller_relay.address.rpartition(":")
                connection = connections[router.name] = CallerConnection(
                    (host, int(port))
                )
            if not await self._send_one(connection, router):
                await connection.close()
                del connections[router.name]
            await asyncio.sleep(self.rng.uniform(0, 0.02))
        for connection in connections.values():
            await connection.close()

    async def _send_one(
        self, connection: CallerConnection, router: RelayedRouter
    ) -> bool:
        """Send a request; return whether its connection can be reused."""
        kind = self.rng.choice(_REQUEST_KINDS)
        customer = self.rng.choice(sorted(_CREDENTIALS))
        request_id = f"{kind}-{self.prefix}{len(self.calls)}"
        headers = {"Snipedeal-Credential": _CREDENTIALS[customer]}
        if kind in STREAM_KINDS:
            part = f"s{self.rng.randrange(8)}"
            if self.env.crashing_part and self.rng.random() < _CRASHING_FRACTION:
                part = self.env.crashing_part
            headers |= prompt_headers(request_id, part)
        version = self.env.version if kind == "version" else 0
        path = f"/ver-{version}/x" if version else f"/{kind}/x"
        call = SoakCall(
            request_id,
            kind,
            router.name,
            router.start_number,
            time.monotonic(),
            customer=customer,
            version=version,
        )
        self.calls.append(call)
        method = "GET" if kind in ("lookup", "version") else "POST"
        try:
            async with asyncio.timeout(checks.ANSWER_LIMIT_S + 1):
                call.answer = await connection.request(
                    method, path, request_id, headers
                )
        except (OSError, TimeoutError, ValueError, IndexError):
            call.ended_s = time.monotonic()
            return False
        call.ended_s = time.monotonic()
        return call.answer.is_complete and not call.answer.is_closed


@attrs.define(eq=False)
class Soak:
    """The soak run for one seed.

    :param violations: descriptions of violated invariants.
    :param recovery_calls: requests sent after all faults had ended.
    :param faults: number of injections by fault name.
    """

    env: SoakEnvironment
    callers: Callers
    violations: list[str] = attrs.Factory(list)
    recovery_calls: list[SoakCall] = attrs.Factory(list)
    faults: collections.Counter[str] = attrs.Factory(collections.Counter)

    async def run(self) -> None:
        """Inject faults, then check recovery; check the invariants throughout."""
        plan = self.env.plan
        load = asyncio.create_task(self.callers.run(plan.callers))
        checker = asyncio.create_task(self._check_periodically())
        try:
            await self._inject_faults(plan.seconds)
            await self._check_recovery()
            await self._check_draining()
        finally:
            self.callers.is_ending = True
            checker.cancel()
            await load
        self.violations += self._find_violations()
        self.violations = list(dict.fromkeys(self.violations))

    async def _inject_faults(self, seconds: float) -> None:
        rng = self.env.rng
        names = sorted(
            FAULTS.keys()
            - (set() if self.env.plan.has_load_faults else LOAD_FAULTS)
            - (set() if self.env.plan.has_state_faults else STATE_FAULTS)
            - (set() if self.env.plan.has_restores else RESTORE_FAULTS)
            - (set() if self.env.plan.has_cold_faults else COLD_FAULTS)
        )
        end_s = time.monotonic() + seconds
        active: set[asyncio.Task[list[str]]] = set()
        while time.monotonic() < end_s and not self.violations:
            if len(active) < _MAX_CONCURRENT_FAULTS:
                name = rng.choice(names)
                self.faults[name] += 1
                duration_s = rng.uniform(0.2, 3.0)
                active.add(asyncio.create_task(FAULTS[name](self.env, duration_s)))
            await asyncio.sleep(rng.uniform(0.05, 0.8))
            done = {task for task in active if task.done()}
            active -= done
            for task in done:
                self.violations += task.result()
        for found in await asyncio.gather(*active):
            self.violations += found

    async def _check_recovery(self) -> None:
        """Check that all routers serve the newest version and all customers."""
        env = self.env
        env.publish_version()
        for router in env.routers:
            if not await self._serves_newest(router):
                self.violations.append(
                    f"{router.name} does not serve version {env.version}"
                    f" {RECOVERY_LIMIT_S} s after the faults"
                )
        # New callers are needed: the others may still wait on connections that a
        # relay has silenced permanently.
        recovery_callers = Callers(env, self.callers.rng, prefix="calm-")
        load = asyncio.create_task(recovery_callers.run(env.plan.callers))
        await asyncio.sleep(_RECOVERY_LOAD_S)
        recovery_callers.is_ending = True
        await load
        self.violations += checks.check_recovery_load(
            recovery_callers.calls, _CREDENTIALS
        )
        self.recovery_calls = recovery_callers.calls

    async def _serves_newest(self, router: RelayedRouter) -> bool:
        end_s = time.monotonic() + RECOVERY_LIMIT_S
        while time.monotonic() < end_s:
            host, _, port = router.caller_relay.address.rpartition(":")
            connection = CallerConnection((host, int(port)))
            with contextlib.suppress(OSError, TimeoutError, IndexError):
                async with asyncio.timeout(2):
                    answer = await connection.request(
                        "GET", f"/ver-{self.env.version}/x", "recovery"
                    )
                    if answer.status == 200:
                        return True
            await connection.close()
            await asyncio.sleep(0.1)
        return False

    async def _check_draining(self) -> None:
        """Check that a draining replica receives no new requests."""
        draining = self.env.replicas[0]
        self.env.register(draining, state="draining")
        await asyncio.sleep(_DRAIN_LIMIT_S)
        before = draining.replica.arrivals
        await asyncio.sleep(1)
        if draining.replica.arrivals > before:
            self.violations.append(
                f"{draining.id} got work {_DRAIN_LIMIT_S} s after leaving"
            )

    async def _check_periodically(self) -> None:
        while not self.violations:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.violations += self._find_violations()

    def _find_violations(self) -> list[str]:
        env, calls = self.env, self.callers.calls + self.recovery_calls
        return (
            checks.check_answers(calls)
            + checks.check_executions(env, calls)
            + checks.check_unanswered(env, calls, time.monotonic())
            + checks.check_stops(env, calls)
            + checks.check_versions(calls)
            + checks.check_processes(env)
            + checks.check_crashing_part(env, calls)
            + checks.check_rate_limits(env, calls)
            + checks.check_leaving(env, calls)
            + checks.check_pauses(env, calls)
            + checks.check_cold(env, calls)
            + checks.check_evacuated(env, calls)
        )


async def run_soak(plan: SoakPlan, directory: pathlib.Path) -> Soak:
    """Run the soak test for one seed.

    :param directory: where the routers' settings and logs are written.
    """
    env = SoakEnvironment(plan, directory)
    soak = Soak(env, Callers(env, random.Random(plan.seed + 1)))
    try:
        await env.start()
        await soak.run()
        return soak
    finally:
        await env.close()


def soak(
    *,
    seed: int = 0,
    seeds: int = 1,
    seconds: float = 20.0,
    routers: int = 3,
    plain: int = 2,
    engines: int = 3,
    callers: int = 8,
    restores: bool = True,
    cold: bool = True,
    keep: str = "soak-logs",
) -> int:
    """Run soak tests and print the answers, the injected faults and all violations.

    :param seed: seed of the first run; 0 picks a random one.
    :param seeds: number of runs, with consecutive seeds.
    :param seconds: duration of the fault injection in each run, in seconds.
    :param routers: number of router processes.
    :param plain: number of plain replicas.
    :param engines: number of model engines.
    :param callers: number of concurrent callers.
    :param restores: whether the store may return from old copies; seeds of earlier
        releases draw the faults that they drew then without.
    :param cold: the same for replicas that turn cold and evacuated zones.
    :param keep: directory in which the logs of failed runs are kept.
    """
    first_seed = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for run_seed in range(first_seed, first_seed + seeds):
        plan = SoakPlan(
            run_seed,
            seconds,
            routers,
            plain,
            engines,
            callers,
            has_restores=restores,
            has_cold_faults=cold,
        )
        with tempfile.TemporaryDirectory() as directory_name:
            directory = pathlib.Path(directory_name)
            run = asyncio.run(run_soak(plan, directory))
            outcomes = collections.Counter(
                call.answer.status if call.answer and call.answer.is_complete else 0
                for call in run.callers.calls
            )
            print(f"seed {run_seed}: answers {dict(sorted(outcomes.items()))}")
            print(f"  faults {dict(sorted(run.faults.items()))}")
            for line in run.violations:
                print("  WRONG", line)
            if run.violations:
                failed += 1
                kept = pathlib.Path(keep) / f"seed-{run_seed}"
                shutil.copytree(directory, kept, dirs_exist_ok=True)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
