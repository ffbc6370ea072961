"""Play prompts with a part that crashes replicas, among sound ones."""

import asyncio
import itertools
import random
import typing as t

import attrs
import harness

from snipedeal_standins.edge import CallerConnection
from snipedeal_standins.edge import route
from snipedeal_standins.rawhttp import render_response
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec
from snipedeal_standins.replica import Run

BAD_PART = "deadbeef"
PART_TOKENS = 40
#: Time after which a crashed replica is back and its old entry is gone, s: three status
#: report intervals.
BACK_S = 3.6
#: Length of a period in which replicas fail requests, and of the pause after it, s.
ERRORS_S = 4.0
ERRORS_PAUSE_S = 1.0
#: Requests with the part that may reach replicas after the fifth crash and stableMs.
ALLOWED = 3
CRASHES = 5
ROUTERS = 2
REPLICAS = 6


@attrs.frozen
class Plan:
    """What is played.

    :param parts: parts of each prompt; the last one is the request's own.
    :param position: position of the part that crashes replicas, counted from zero.
    :param interval_s: time between two requests with that part.
    :param duration_s: time for which they come.
    :param crashes_replicas: whether the part crashes replicas.
    :param error_share: share of the requests that a replica answers with 500, in
        periods of ``ERRORS_S`` with a pause of ``ERRORS_PAUSE_S`` after each.
    :param sound_callers: callers with sound prompts.
    """

    parts: int
    position: int
    interval_s: float
    duration_s: float
    crashes_replicas: bool = True
    error_share: float = 0.0
    sound_callers: int = 6


@attrs.define
class Outcome:
    """What callers and replicas saw.

    :param crashes_s: times of the crashes, in s since the start.
    :param arrivals_s: arrivals of requests with the part that crashes replicas.
    :param sound_broken: sound requests without a whole success.
    """

    crashes_s: list[float] = attrs.Factory(list)
    arrivals_s: list[float] = attrs.Factory(list)
    errors: int = 0
    sound_whole: int = 0
    sound_broken: int = 0


class SeenReplica(Replica):
    """A replica that reports each request, and may answer some with 500.

    :param on_request: called with the ID of each request.
    :param fails: returns whether to answer the next request with 500.
    """

    def __init__(
        self,
        spec: ReplicaSpec,
        on_request: t.Callable[[str], None],
        fails: t.Callable[[], bool],
    ) -> None:
        super().__init__(spec)
        self._on_request = on_request
        self._fails = fails

    async def _handle(self, request: t.Any, writer: t.Any) -> None:
        self._on_request(request.headers.get("snipedeal-request-attempt-id", ""))
        await super()._handle(request, writer)

    async def _run(self, run: Run, mode: str, writer: t.Any) -> None:
        if self._fails():
            writer.write(render_response(500, self._response_headers(run, ""), b"no"))
        else:
            await super()._run(run, mode, writer)


class CrashingPart:
    """The deployment, its callers and what they saw."""

    def __init__(self, deployment: harness.Deployment, plan: Plan) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._plan = plan
        self._rng = random.Random()
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._is_over = False
        self.outcome = Outcome()

    def _note_request(self, request_id: str) -> None:
        if request_id.startswith("bad-"):
            self.outcome.arrivals_s.append(self._record.now_s())
            self._record.write("arrived", request=request_id)

    def _fails(self) -> bool:
        in_period_s = self._record.now_s() % (ERRORS_S + ERRORS_PAUSE_S)
        share = self._plan.error_share if in_period_s < ERRORS_S else 0.0
        is_failing = self._rng.random() < share
        self.outcome.errors += is_failing
        return is_failing

    def _new_replica(self, replica_id: str) -> Replica:
        spec = ReplicaSpec(
            replica_id, "model", slots=64, read_rate=50.0, event_ms=20.0, events=20
        )
        replica = SeenReplica(spec, self._note_request, self._fails)
        if self._plan.crashes_replicas:
            replica.faults.crashing_parts = {BAD_PART}
        replica.on_crash = self._on_crash
        return replica

    def _on_crash(self, replica: Replica) -> None:
        self.outcome.crashes_s.append(self._record.now_s())
        self._record.write("crashed", replica=replica.spec.id)
        self._tasks.add(asyncio.create_task(self._bring_back(replica)))

    async def _bring_back(self, replica: Replica) -> None:
        """Start a new boot at the same address, with a new ID."""
        await asyncio.sleep(BACK_S)
        if not self._is_over:
            self._deployment.unregister(replica)
            successor = self._new_replica(replica.successor_id)
            await self._deployment.add_replica(successor, replica._server.port)

    def _prompt_headers(self, request_id: str, is_bad: bool) -> dict[str, str]:
        """Return the headers of a prompt; all but its last part is shared."""
        parts = [f"{number + 1:08x}" for number in range(self._plan.parts - 1)]
        if is_bad:
            parts[self._plan.position] = BAD_PART
        parts.append(f"{abs(hash(request_id)) % 2**32:08x}")
        return {
            "Snipedeal-Model": "m",
            "Snipedeal-Token-Usage": f"{len(parts) * PART_TOKENS},20",
            "Snipedeal-Prompt-Prefix": ",".join(f"{p}:{PART_TOKENS}" for p in parts),
        }

    async def _call(
        self, connection: CallerConnection, request_id: str, is_bad: bool
    ) -> bool:
        """Send a request; return whether its answer is a whole success."""
        answer = await harness.exchange(
            connection,
            6.0,
            "POST",
            "/chat/a",
            request_id,
            self._prompt_headers(request_id, is_bad),
            b"{}",
        )
        is_whole = answer.status == 200 and answer.is_complete
        self._record.write(
            "answered", request=request_id, status=answer.status, whole=is_whole
        )
        if answer.is_closed:
            await connection.close()
            connection.writer = None
        return is_whole

    async def _call_soundly(self, number: int) -> None:
        """Send sound requests, one after the other, on a kept channel."""
        connection = self._deployment.routers[number % ROUTERS].caller()
        for count in itertools.count():
            if self._is_over:
                break
            if await self._call(connection, f"sound-{number}-{count}", False):
                self.outcome.sound_whole += 1
            else:
                self.outcome.sound_broken += 1
                await asyncio.sleep(0.3)
        await connection.close()

    async def _call_badly(self, number: int) -> None:
        connection = self._deployment.routers[number % ROUTERS].caller()
        await self._call(connection, f"bad-{number}", True)
        await connection.close()

    async def play(self) -> bool:
        """Play the plan; return whether the rule held."""
        plan = self._plan
        await self._deployment.start(
            [], ROUTERS, routes=[route("chat", "streaming", "model", sticky=True)]
        )
        for number in range(REPLICAS):
            await self._deployment.add_replica(self._new_replica(f"i-{number}"))
        await asyncio.sleep(1)
        for number in range(plan.sound_callers):
            self._tasks.add(asyncio.create_task(self._call_soundly(number)))
        for number in range(int(plan.duration_s / plan.interval_s)):
            self._tasks.add(asyncio.create_task(self._call_badly(number)))
            await asyncio.sleep(plan.interval_s)
        self._is_over = True
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return self._judge()

    def _judge(self) -> bool:
        outcome = self.outcome
        late: list[float] = []
        if len(outcome.crashes_s) >= CRASHES:
            from_s = outcome.crashes_s[CRASHES - 1] + harness.BOUNDS["stableMs"] / 1000
            late = [s for s in outcome.arrivals_s if s > from_s]
        self._record.write(
            "result",
            crashes=len(outcome.crashes_s),
            arrivals=len(outcome.arrivals_s),
            arrivals_after_bound=len(late),
            allowed=ALLOWED,
            errors=outcome.errors,
            sound_whole=outcome.sound_whole,
            sound_broken=outcome.sound_broken,
        )
        return len(late) <= ALLOWED
