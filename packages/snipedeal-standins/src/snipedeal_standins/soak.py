"""Soak: real routers on loopback under random faults, with checks meanwhile.

The routers are processes of their own; store and replicas run in this one. Faults
come from outside: signals to the routers, relays on each connection, and a store
and replicas that misbehave. They come in series and overlap.
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
from snipedeal_standins.soak_checks import Asked
from snipedeal_standins.soak_faults import FAULTS
from snipedeal_standins.soak_stage import SoakPlan
from snipedeal_standins.soak_stage import Stage
from snipedeal_standins.soak_stage import StagedRouter

#: Faults that are under way at once.
_FAULTS_AT_ONCE = 4
#: Longest time from the end of all faults until all routers serve, s.
RECOVERY_LIMIT_S = 20.0
#: A target that leaves gets nothing after this, s.
_LEAVE_LIMIT_S = 4.0
_CALM_S = 2.0
_CHECK_INTERVAL_S = 1.0
_KEYS = {"one": "key-one", "two": "key-two"}
_KINDS = ("lookup", "change", "chat", "draft", "version")


@attrs.define(eq=False)
class Callers:
    """Callers that keep their connections open as long as they can.

    :param calls: all requests that were sent, in order.
    :param prefix: tells the requests of several groups of callers apart.
    """

    stage: Stage
    chance: random.Random
    calls: list[Asked] = attrs.Factory(list)
    prefix: str = ""
    is_ending: bool = False

    async def run(self, count: int) -> None:
        """Send requests until told to end."""
        await asyncio.gather(*(self._run_one() for _ in range(count)))

    async def _run_one(self) -> None:
        links: dict[str, CallerConnection] = {}
        while not self.is_ending:
            router = self.chance.choice(self.stage.routers)
            link = links.get(router.name)
            if link is None:
                host, _, port = router.front.address.rpartition(":")
                link = links[router.name] = CallerConnection((host, int(port)))
            if not await self._ask(link, router):
                await link.close()
                del links[router.name]
            await asyncio.sleep(self.chance.uniform(0, 0.02))
        for link in links.values():
            await link.close()

    async def _ask(self, link: CallerConnection, router: StagedRouter) -> bool:
        """Send a request; return whether the connection can be kept."""
        kind = self.chance.choice(_KINDS)
        customer = self.chance.choice(sorted(_KEYS))
        request_id = f"{kind}-{self.prefix}{len(self.calls)}"
        headers = {"Snipedeal-Credential": _KEYS[customer]}
        if kind in STREAM_KINDS:
            headers |= prompt_headers(request_id, self.chance.randrange(8))
        version = self.stage.version if kind == "version" else 0
        path = f"/ver-{version}/x" if version else f"/{kind}/x"
        call = Asked(
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
                call.answer = await link.request(method, path, request_id, headers)
        except (OSError, TimeoutError, ValueError, IndexError):
            call.ended_s = time.monotonic()
            return False
        call.ended_s = time.monotonic()
        return call.answer.is_whole and not call.answer.is_closed


@attrs.define(eq=False)
class Soak:
    """A run of one seed.

    :param wrong: broken promises, in words.
    :param calm_calls: requests that were sent after all faults.
    :param faults: how often each fault came.
    """

    stage: Stage
    callers: Callers
    wrong: list[str] = attrs.Factory(list)
    calm_calls: list[Asked] = attrs.Factory(list)
    faults: collections.Counter[str] = attrs.Factory(collections.Counter)

    async def run(self) -> None:
        """Play faults, then calm, and check all along."""
        plan = self.stage.plan
        load = asyncio.create_task(self.callers.run(plan.callers))
        watch = asyncio.create_task(self._watch())
        try:
            await self._play_faults(plan.seconds)
            await self._check_recovery()
            await self._check_leaving()
        finally:
            self.callers.is_ending = True
            watch.cancel()
            await load
        self.wrong += self._broken()
        self.wrong = list(dict.fromkeys(self.wrong))

    async def _play_faults(self, seconds: float) -> None:
        chance = self.stage.chance
        end_s = time.monotonic() + seconds
        under_way: set[asyncio.Task[list[str]]] = set()
        while time.monotonic() < end_s and not self.wrong:
            if len(under_way) < _FAULTS_AT_ONCE:
                name = chance.choice(sorted(FAULTS))
                self.faults[name] += 1
                hold_s = chance.uniform(0.2, 3.0)
                under_way.add(asyncio.create_task(FAULTS[name](self.stage, hold_s)))
            await asyncio.sleep(chance.uniform(0.05, 0.8))
            done = {task for task in under_way if task.done()}
            under_way -= done
            for task in done:
                self.wrong += task.result()
        for found in await asyncio.gather(*under_way):
            self.wrong += found

    async def _check_recovery(self) -> None:
        """All routers serve the newest version, and every customer is served."""
        stage = self.stage
        stage.configure()
        for router in stage.routers:
            if not await self._serves_newest(router):
                self.wrong.append(
                    f"{router.name} does not serve version {stage.version}"
                    f" {RECOVERY_LIMIT_S} s after the faults"
                )
        # others may still wait on connections that a relay has silenced for good.
        calm = Callers(stage, self.callers.chance, prefix="calm-")
        load = asyncio.create_task(calm.run(stage.plan.callers))
        await asyncio.sleep(_CALM_S)
        calm.is_ending = True
        await load
        self.wrong += checks.check_calm(calm.calls, _KEYS)
        self.calm_calls = calm.calls

    async def _serves_newest(self, router: StagedRouter) -> bool:
        end_s = time.monotonic() + RECOVERY_LIMIT_S
        while time.monotonic() < end_s:
            host, _, port = router.front.address.rpartition(":")
            link = CallerConnection((host, int(port)))
            with contextlib.suppress(OSError, TimeoutError, IndexError):
                async with asyncio.timeout(2):
                    answer = await link.request(
                        "GET", f"/ver-{self.stage.version}/x", "recovery"
                    )
                    if answer.status == 200:
                        return True
            await link.close()
            await asyncio.sleep(0.1)
        return False

    async def _check_leaving(self) -> None:
        """A replica that has said that it leaves gets no new work."""
        leaving = self.stage.replicas[0]
        self.stage.register(leaving, state="draining")
        await asyncio.sleep(_LEAVE_LIMIT_S)
        before = leaving.replica.arrivals
        await asyncio.sleep(1)
        if leaving.replica.arrivals > before:
            self.wrong.append(f"{leaving.id} got work {_LEAVE_LIMIT_S} s after leaving")

    async def _watch(self) -> None:
        while not self.wrong:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.wrong += self._broken()

    def _broken(self) -> list[str]:
        stage, calls = self.stage, self.callers.calls + self.calm_calls
        return (
            checks.check_answers(calls)
            + checks.check_promises(stage, calls)
            + checks.check_open(stage, calls, time.monotonic())
            + checks.check_stops(stage, calls)
            + checks.check_versions(calls)
            + checks.check_processes(stage)
        )


async def play(plan: SoakPlan, directory: pathlib.Path) -> Soak:
    """Run a soak of one seed.

    :param directory: gets settings and logs of the routers.
    """
    stage = Stage(plan, directory)
    soak = Soak(stage, Callers(stage, random.Random(plan.seed + 1)))
    try:
        await stage.start()
        await soak.run()
        return soak
    finally:
        await stage.close()


def soak(
    *,
    seed: int = 0,
    seeds: int = 1,
    seconds: float = 20.0,
    routers: int = 3,
    plain: int = 2,
    engines: int = 3,
    callers: int = 8,
    keep: str = "soak-logs",
) -> int:
    """Run soaks and print what was asked, what faults came and what broke.

    :param seed: of the first run; 0 takes a fresh one.
    :param seeds: runs, with seeds that count up.
    :param seconds: how long faults come in each run.
    :param routers: router processes.
    :param plain: plain replicas.
    :param engines: model engines.
    :param callers: callers that ask at the same time.
    :param keep: directory for the logs of runs that failed.
    """
    first = seed or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for number in range(first, first + seeds):
        plan = SoakPlan(number, seconds, routers, plain, engines, callers)
        with tempfile.TemporaryDirectory() as text:
            directory = pathlib.Path(text)
            run = asyncio.run(play(plan, directory))
            outcomes = collections.Counter(
                call.answer.status if call.answer and call.answer.is_whole else 0
                for call in run.callers.calls
            )
            print(f"seed {number}: answers {dict(sorted(outcomes.items()))}")
            print(f"  faults {dict(sorted(run.faults.items()))}")
            for line in run.wrong:
                print("  WRONG", line)
            if run.wrong:
                failed += 1
                kept = pathlib.Path(keep) / f"seed-{number}"
                shutil.copytree(directory, kept, dirs_exist_ok=True)
    print(f"{seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(soak))
