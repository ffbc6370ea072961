"""Promises of the fleet, checked against what callers and replicas saw."""

import typing as t

import attrs

from snipedeal_standins.edge import Response
from snipedeal_standins.edge_demo import check_response
from snipedeal_standins.edge_demo import check_runs
from snipedeal_standins.soak_stage import Stage
from snipedeal_standins.soak_stage import Stop

#: Statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
#: Calls in the last moments of a stopping process may cross its close, s.
CROSSING_S = 0.5
#: Longest time that a call may stay without an answer, s: its deadline, and time
#: for a busy machine.
ANSWER_LIMIT_S = 15.0


@attrs.define
class Asked:
    """A request of a caller and what it got.

    :param router_start: number of the router's start that it was sent to.
    :param answer: ``None`` while it is open, or where none came in time.
    """

    id: str
    kind: str
    router: str
    router_start: int
    sent_s: float
    customer: str = ""
    ended_s: float = 0.0
    answer: Response | None = None
    version: int = 0

    @property
    def is_success(self) -> bool:
        """Whether a whole 200 came."""
        answer = self.answer
        return answer is not None and answer.status == 200 and answer.is_whole

    @property
    def is_broken(self) -> bool:
        """Whether the connection ended before the answer did."""
        return self.answer is not None and not self.answer.is_whole


def check_answers(calls: t.Iterable[Asked]) -> list[str]:
    """Each success is the whole answer to its own request."""
    wrong = []
    for call in calls:
        if call.is_success and call.answer is not None:
            wrong += check_response(call.kind, call.id, call.answer)
    return wrong


def check_promises(stage: Stage, calls: t.Iterable[Asked]) -> list[str]:
    """What was refused as not run has not run; what may run once did so."""
    refused = {
        call.id
        for call in calls
        if call.answer is not None and call.answer.status in NOT_RUN
    }
    return check_runs(stage.all_replicas(), refused)


def check_open(stage: Stage, calls: t.Iterable[Asked], now_s: float) -> list[str]:
    """No call stays without an answer where no fault touched its router."""
    wrong = []
    for call in calls:
        end_s = call.ended_s or now_s
        is_late = end_s - call.sent_s > ANSWER_LIMIT_S
        if is_late and not stage.is_touched(call.router, call.sent_s, end_s):
            wrong.append(f"{call.id} had no answer for {ANSWER_LIMIT_S} s")
    return wrong


def check_stops(stage: Stage, calls: t.Sequence[Asked]) -> list[str]:
    """A stopping router breaks off nothing that it has passed on."""
    ran = {
        run.id: replica.spec.id
        for replica in stage.all_replicas()
        for run in replica.runs
    }
    return [
        f"{call.id} was broken off as {stop.router} stopped"
        for stop in stage.stops
        for call in calls
        if _is_cut_by(stop, call)
        and call.id in ran
        and not _is_excused(stage, stop, call, ran[call.id])
    ]


def _is_cut_by(stop: Stop, call: Asked) -> bool:
    return (
        call.router == stop.router
        and call.is_broken
        and call.sent_s < stop.to_s - CROSSING_S
        and stop.from_s <= call.ended_s <= stop.to_s + CROSSING_S
    )


def _is_excused(stage: Stage, stop: Stop, call: Asked, replica: str) -> bool:
    """Whether a fault may have broken a call off, other than the stop's own end."""
    return any(
        trouble.touches(subject, call.sent_s, call.ended_s)
        for trouble in stage.troubles
        for subject in (stop.router, replica)
        if trouble.name != "down_router" or trouble.from_s < stop.from_s
    )


def check_versions(calls: t.Iterable[Asked]) -> list[str]:
    """A router that has shown a version never acts on an older one."""
    shown: dict[tuple[str, int], list[Asked]] = {}
    wrong = []
    probes = [call for call in calls if call.version and call.is_success]
    for call in sorted(probes, key=lambda call: call.ended_s):
        earlier = shown.setdefault((call.router, call.router_start), [])
        newer = [
            seen.version
            for seen in earlier
            if seen.version > call.version and seen.ended_s < call.sent_s
        ]
        if newer:
            wrong.append(
                f"{call.router} acted on version {call.version} after {max(newer)}"
            )
        earlier.append(call)
    return wrong


def check_processes(stage: Stage) -> list[str]:
    """No router ends by itself."""
    return [
        f"{router.name} ended by itself with {router.process.process.returncode}"
        for router in stage.routers
        if router.process.process is not None
        and router.process.process.returncode is not None
        and not router.is_expected_down
    ]


def check_calm(calls: t.Sequence[Asked], customers: t.Iterable[str]) -> list[str]:
    """After all faults are healed, the load of every customer is served."""
    wrong = []
    for customer in customers:
        mine = [call for call in calls if call.customer == customer]
        served = sum(call.is_success for call in mine)
        if served < 0.9 * len(mine) or not mine:
            wrong.append(f"{customer}: {served} of {len(mine)} served after the faults")
    return wrong
