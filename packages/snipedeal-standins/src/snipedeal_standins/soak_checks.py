"""Invariants of the fleet, checked against the records of callers and replicas."""

import bisect
import typing as t

import attrs

from snipedeal_standins.edge import Response
from snipedeal_standins.edge_demo import check_response
from snipedeal_standins.edge_demo import check_runs
from snipedeal_standins.soak_stage import COLD_PER_S
from snipedeal_standins.soak_stage import SoakEnvironment
from snipedeal_standins.soak_stage import Stop

#: Statuses that guarantee that the request was not executed and never will be.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
#: Margin around the exit of a stopping router, s: a request sent just before the
#: exit may reach a connection that the router is closing.
STOP_RACE_MARGIN_S = 0.5
#: Time within which a request must be answered, s: its deadline plus a margin for a
#: busy machine.
ANSWER_LIMIT_S = 15.0


#: Crashes after which requests with one part must be contained, requests that may
#: reach engines after that, and the time that routers have for it, s.
CRASHES_UNTIL_CONTAINED = 5
REQUESTS_AFTER_CRASHES = 3
STABLE_S = 3.0
#: Span over which the rate at a replica is taken, s.
RATE_SPAN_S = 4.0
#: Time after an answer that says that its replica leaves in which requests of the same
#: router may still reach it, s.
LEAVING_LIMIT_S = 2.0
#: Requests that may reach a replica in the time that it wants none, from this time on
#: after its answer, s.
REQUESTS_IN_PAUSE = 2
PAUSE_REACTION_S = 0.5
#: Requests that a cold replica bears in a second, and the time until its registration
#: has reached all routers, s.
COLD_LIMIT = 1.5 * COLD_PER_S + 5
COLD_KNOWN_S = 1.0
#: Time after the operator's word in which requests may reach an evacuated zone, s:
#: the required time, and that for which the store may be silent meanwhile.
EVACUATION_LIMIT_S = 5.0 + 3.0


@attrs.define
class SoakCall:
    """A request of a caller and its answer.

    Times are monotonic, in s.

    :param router_start: ``start_number`` of the router when the request was sent.
    :param ended_s: 0 while the request is open.
    :param answer: ``None`` while the request is open, or if the connection failed or
        timed out before an answer.
    :param version: version of the requested ``ver-VERSION`` route, 0 for others.
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
        """Whether a complete answer with status 200 was received."""
        answer = self.answer
        return answer is not None and answer.status == 200 and answer.is_complete

    @property
    def is_aborted(self) -> bool:
        """Whether the connection closed before the answer was complete."""
        return self.answer is not None and not self.answer.is_complete


def check_answers(calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that each success is the complete answer to its own request."""
    violations = []
    for call in calls:
        if call.is_success and call.answer is not None:
            violations += check_response(call.kind, call.id, call.answer)
    return violations


def check_executions(env: SoakEnvironment, calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that no request ran despite a not-executed status, or ran too often.

    Requests that are not idempotent may run at most once.
    """
    refused = {
        call.id
        for call in calls
        if call.answer is not None and call.answer.status in NOT_EXECUTED_STATUSES
    }
    return check_runs(env.all_replicas(), refused)


def check_unanswered(
    env: SoakEnvironment, calls: t.Iterable[SoakCall], now_s: float
) -> list[str]:
    """Check that requests are answered in time unless a fault affected their router."""
    violations = []
    for call in calls:
        end_s = call.ended_s or now_s
        is_late = end_s - call.sent_s > ANSWER_LIMIT_S
        if is_late and not env.is_affected(call.router, call.sent_s, end_s):
            violations.append(f"{call.id} had no answer for {ANSWER_LIMIT_S} s")
    return violations


def check_stops(env: SoakEnvironment, calls: t.Sequence[SoakCall]) -> list[str]:
    """Check that a stopping router aborts no request that it has forwarded."""
    ran = {
        run.id: replica.spec.id
        for replica in env.all_replicas()
        for run in replica.runs
    }
    return [
        f"{call.id} was broken off as {stop.router} stopped"
        for stop in env.stops
        for call in calls
        if _is_aborted_by(stop, call)
        and call.id in ran
        and not _has_other_fault(env, stop, call, ran[call.id])
    ]


def _is_aborted_by(stop: Stop, call: SoakCall) -> bool:
    return (
        call.router == stop.router
        and call.is_aborted
        and call.sent_s < stop.to_s - STOP_RACE_MARGIN_S
        and stop.from_s <= call.ended_s <= stop.to_s + STOP_RACE_MARGIN_S
    )


def _has_other_fault(
    env: SoakEnvironment, stop: Stop, call: SoakCall, replica: str
) -> bool:
    """Return whether a fault other than the stop itself may have aborted a request.

    The downtime that follows the stop does not count.
    """
    return any(
        period.may_affect(subject, call.sent_s, call.ended_s)
        for period in env.fault_periods
        for subject in (stop.router, replica)
        if period.name != "down_router" or period.from_s < stop.from_s
    )


def check_versions(calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that a router never uses an older version than it did before.

    A restarted router may.
    """
    earlier_by_start: dict[tuple[str, int], list[SoakCall]] = {}
    violations = []
    probes = [call for call in calls if call.version and call.is_success]
    for call in sorted(probes, key=lambda call: call.ended_s):
        earlier = earlier_by_start.setdefault((call.router, call.router_start), [])
        newer = [
            seen.version
            for seen in earlier
            if seen.version > call.version and seen.ended_s < call.sent_s
        ]
        if newer:
            violations.append(
                f"{call.router} acted on version {call.version} after {max(newer)}"
            )
        earlier.append(call)
    return violations


def check_processes(env: SoakEnvironment) -> list[str]:
    """Check that no router exited without a fault that stopped it."""
    return [
        f"{router.name} ended by itself with {router.process.process.returncode}"
        for router in env.routers
        if router.process.process is not None
        and router.process.process.returncode is not None
        and not router.is_expected_down
    ]


def check_crashing_part(env: SoakEnvironment, calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that requests with a part that crashes engines are contained.

    Some time after the fifth crash, at most ``REQUESTS_AFTER_CRASHES`` may reach
    engines through routers that no fault has touched meanwhile.
    """
    violations = []
    sent = {call.id: call for call in calls}
    for part, crashes_s in env.crashes_s.items():
        if len(crashes_s) < CRASHES_UNTIL_CONTAINED:
            continue
        limit_s = sorted(crashes_s)[CRASHES_UNTIL_CONTAINED - 1] + STABLE_S
        late = [
            run.id
            for replica in env.all_replicas()
            for run in replica.runs
            if f"{part}:" in run.headers.get("snipedeal-prompt-prefix", "")
            and run.started_s > limit_s
            and _is_calm(env, sent.get(run.id), run.started_s)
        ]
        if len(late) > REQUESTS_AFTER_CRASHES:
            violations.append(f"{part} crashed engines and reached them in {late}")
    return violations


def check_rate_limits(env: SoakEnvironment, calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that replicas get no more than the rate limits that they name.

    Requests of routers that a fault has touched meanwhile do not count.
    """
    violations = []
    sent = {call.id: call for call in calls}
    for named in env.limits:
        starts_s = sorted(
            run.started_s
            for replica in env.all_replicas()
            if replica.spec.id == named.replica
            for run in replica.runs
            if named.from_s + STABLE_S < run.started_s < named.to_s
            and _is_calm(env, sent.get(run.id), run.started_s)
        )
        allowed = 1.5 * named.limit * RATE_SPAN_S + 5
        for index, start_s in enumerate(starts_s):
            end = bisect.bisect_right(starts_s, start_s + RATE_SPAN_S)
            if end - index > allowed:
                violations.append(
                    f"{named.replica} names {named.limit} a second and got"
                    f" {end - index} in {RATE_SPAN_S} s"
                )
                break
    return violations


def check_leaving(env: SoakEnvironment, calls: t.Sequence[SoakCall]) -> list[str]:
    """Check that routers send nothing to replicas that told them that they leave.

    A restart or a pause of the router since then excuses it.
    """
    by_id = {call.id: call for call in calls}
    violations = []
    for leaving in env.leavings:
        told_s: dict[str, float] = {}
        for run in leaving.replica.runs:
            call = by_id.get(run.id)
            if call and call.answer and run.started_s >= leaving.from_s:
                first_s = min(call.ended_s, told_s.get(call.router, call.ended_s))
                told_s[call.router] = first_s
        for request_id, _ in leaving.replica.received:
            call = by_id.get(request_id)
            if call is None or call.router not in told_s:
                continue
            since_s = told_s[call.router]
            if call.sent_s > since_s + LEAVING_LIMIT_S and not env.is_affected(
                call.router, since_s, call.sent_s
            ):
                violations.append(
                    f"{call.router} sent {request_id} to {leaving.replica.spec.id}"
                    f" {call.sent_s - since_s:.1f} s after that said that it leaves"
                )
    return violations


def check_pauses(env: SoakEnvironment, calls: t.Sequence[SoakCall]) -> list[str]:
    """Check that replicas get no requests in the time for which they want none.

    A restart, a pause or a cut of the router excuses it.
    """
    routers = {call.id: call.router for call in calls}
    violations = []
    for replica in env.all_replicas():
        for decline in replica.declined:
            router = routers.get(decline.request_id)
            end_s = decline.at_s + decline.wait_s
            reached = [
                request_id
                for request_id, at_s in replica.received
                if decline.at_s + PAUSE_REACTION_S < at_s < end_s
                and routers.get(request_id) == router
            ]
            if (
                router is not None
                and len(reached) > REQUESTS_IN_PAUSE
                and not env.is_affected(router, decline.at_s, end_s)
            ):
                violations.append(
                    f"{router} sent {reached} to {replica.spec.id}, which wanted"
                    f" nothing for {decline.wait_s} s"
                )
    return violations


def check_cold(env: SoakEnvironment, calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that cold replicas get no more than they bear.

    Requests of routers that a fault has touched meanwhile do not count.
    """
    violations = []
    sent = {call.id: call for call in calls}
    for cold in env.colds:
        times_s = sorted(
            at_s
            for request_id, at_s in cold.replica.received
            if cold.from_s + COLD_KNOWN_S < at_s < cold.to_s
            and _is_calm(env, sent.get(request_id), at_s)
        )
        most = max(
            (
                bisect.bisect_left(times_s, start_s + 1.0) - index
                for index, start_s in enumerate(times_s)
            ),
            default=0,
        )
        if most > COLD_LIMIT:
            violations.append(f"{cold.replica.spec.id} is cold and got {most} in 1 s")
    return violations


def check_evacuated(env: SoakEnvironment, calls: t.Iterable[SoakCall]) -> list[str]:
    """Check that nothing reaches the replicas of an evacuated zone."""
    violations = []
    sent = {call.id: call for call in calls}
    for evacuated in env.evacuations:
        late = [
            request_id
            for replica in env.all_replicas()
            if replica.spec.zone == evacuated.zone
            for request_id, at_s in replica.received
            if evacuated.from_s + EVACUATION_LIMIT_S < at_s < evacuated.to_s
            and _is_calm(env, sent.get(request_id), at_s)
        ]
        if late:
            violations.append(f"{evacuated.zone} is evacuated and got {late}")
    return violations


def _is_calm(env: SoakEnvironment, call: SoakCall | None, at_s: float) -> bool:
    """Return whether no fault may have affected a call's router before a moment."""
    return call is not None and not env.is_affected(call.router, at_s - STABLE_S, at_s)


def check_recovery_load(
    calls: t.Sequence[SoakCall], customers: t.Iterable[str]
) -> list[str]:
    """Check that at least 90% of each customer's requests succeed after the faults."""
    violations = []
    for customer in customers:
        customer_calls = [call for call in calls if call.customer == customer]
        served = sum(call.is_success for call in customer_calls)
        if served < 0.9 * len(customer_calls) or not customer_calls:
            violations.append(
                f"{customer}: {served} of {len(customer_calls)} served after the faults"
            )
    return violations
