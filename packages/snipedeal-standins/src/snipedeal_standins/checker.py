"""Check the invariants over what callers received and what targets executed."""

import json
import typing as t

import attrs

from snipedeal_standins.history import CUT
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.history import WRONG
from snipedeal_standins.history import CallRecord
from snipedeal_standins.history import RunRecord
from snipedeal_standins.measures import Sample
from snipedeal_standins.measures import fairness_gap

NOT_RUN = "not_run"
FINAL_OUTCOMES = frozenset({WHOLE, REFUSED})


@attrs.frozen
class Violation:
    """An invariant violated by a recorded history.

    :param rule: short name of the invariant.
    :param subject: call, customer, target or process that violates it.
    """

    rule: str
    subject: str
    detail: str


@attrs.frozen
class LeavingInterval:
    """An interval during which the VM list reports a target as leaving.

    :param from_ms: wall-clock time at which the platform marked it as leaving.
    :param to_ms: wall-clock time at which it was live again, or the end of the run.
    """

    target: str
    from_ms: int
    to_ms: int


@attrs.frozen
class ConfigObservation:
    """The configuration offset that a process reported as in force.

    :param process: name and incarnation of the process, ``NAME#INCARNATION``.
    """

    process: str
    time_ms: int
    offset: int


@attrs.frozen
class ConfigPublication:
    """A configuration record that was accepted.

    :param time_ms: wall-clock time at which the publisher learned its offset.
    """

    offset: int
    time_ms: int


def has_failed_to_connect(call: CallRecord) -> bool:
    """Return whether a call failed to connect, so that no router accepted it."""
    return call.outcome == CUT and not call.status and "ConnectorError" in call.detail


def check_answers(
    calls: t.Iterable[CallRecord], dead_routers: t.Collection[str] = ()
) -> list[Violation]:
    """Check that each call received its own complete answer or a refusal.

    Calls that failed to connect are exempt: no router accepted them.

    :param dead_routers: base URLs of routers that were killed or shut down; a
        call whose connection to such a router broke cannot be answered.
    """
    violations = []
    for call in calls:
        is_lost_with_router = call.outcome == CUT and call.router in dead_routers
        if is_lost_with_router or has_failed_to_connect(call):
            continue
        if call.outcome == WRONG:
            violations.append(
                Violation("whole", call.mark, "the answer is not its own")
            )
        elif call.outcome not in FINAL_OUTCOMES:
            detail = call.detail or call.outcome or "no reply"
            violations.append(Violation("whole", call.mark, detail))
        elif call.outcome == REFUSED and call.ran not in (NOT_RUN, "may_have_run"):
            violations.append(
                Violation("whole", call.mark, "a refusal without its word")
            )
    return violations


def check_not_run(
    calls: t.Iterable[CallRecord], runs: t.Iterable[RunRecord]
) -> list[Violation]:
    """Check that no target started a request that was refused as not run."""
    started = {run.mark for run in runs if run.event == "start"}
    return [
        Violation("not_run", call.mark, f"refused as not run ({call.code}) but ran")
        for call in calls
        if call.outcome == REFUSED and call.ran == NOT_RUN and call.mark in started
    ]


def check_at_most_once(
    calls: t.Iterable[CallRecord], runs: t.Iterable[RunRecord]
) -> list[Violation]:
    """Check that the calls of one idempotency key start at most once in total."""
    keys = {call.mark: f"{call.customer}/{call.key}" for call in calls if call.key}
    starts: dict[str, int] = {}
    for run in runs:
        if run.event == "start" and run.mark in keys:
            key = keys[run.mark]
            starts[key] = starts.get(key, 0) + 1
    return [
        Violation("at_most_once", key, f"started {count} times")
        for key, count in starts.items()
        if count > 1
    ]


def check_leaving(
    leaving_intervals: t.Iterable[LeavingInterval],
    runs: t.Sequence[RunRecord],
    grace_ms: int,
) -> list[Violation]:
    """Check that a leaving target starts no new work after the grace period.

    :param grace_ms: time after the mark as leaving in which new work is allowed.
    """
    violations = []
    for interval in leaving_intervals:
        for run in runs:
            is_new_work = run.event == "start" and run.target == interval.target
            late_from_ms = interval.from_ms + grace_ms
            if is_new_work and late_from_ms < run.time_ms < interval.to_ms:
                late_ms = run.time_ms - interval.from_ms
                detail = f"{run.mark} started {late_ms} ms after leaving"
                violations.append(Violation("leaving", interval.target, detail))
    return violations


def check_shutdown(
    calls: t.Iterable[CallRecord], runs: t.Iterable[RunRecord]
) -> list[Violation]:
    """Check that a graceful shutdown interrupts no call in flight.

    A call whose connection was refused or reset before any answer, and that no
    target started, was never accepted and does not count.
    """
    started = {run.mark for run in runs if run.event == "start"}
    violations = []
    for call in calls:
        is_cut = call.outcome == CUT and (call.status or call.mark in started)
        is_ambiguous_refusal = call.outcome == REFUSED and call.ran != NOT_RUN
        if is_cut or is_ambiguous_refusal:
            detail = f"{call.outcome} {call.code} {call.detail}"
            violations.append(Violation("shutdown", call.mark, detail))
    return violations


def check_accepted_requests_ended(
    process: str, log_lines: t.Iterable[str]
) -> list[Violation]:
    """Check that every request accepted by a router ended before the router exited.

    :param log_lines: JSON lines of the router's log.
    """
    accepted: set[str] = set()
    for text in log_lines:
        line = json.loads(text) if text.startswith("{") else {}
        if line.get("event") == "request.accepted":
            accepted.add(line["request"])
        elif line.get("event") in ("request.ended", "request.claim_refused"):
            accepted.discard(line["request"])
    return [
        Violation("shutdown", process, f"{request} was accepted and never ended")
        for request in sorted(accepted)
    ]


def check_starvation(
    calls: t.Iterable[CallRecord], bound_ms: int, end_ms: int
) -> list[Violation]:
    """Check that no call waits longer than the bound for its first chunk.

    :param end_ms: wall-clock time of the end of the run, used for calls that
        received nothing.
    """
    violations = []
    for call in calls:
        served_ms = call.first_ms or call.done_ms or end_ms
        waited_ms = served_ms - call.sent_ms
        if waited_ms > bound_ms:
            detail = f"waited {waited_ms} ms, the bound is {bound_ms} ms"
            violations.append(Violation("starvation", call.mark, detail))
    return violations


def check_gap(
    samples: t.Sequence[Sample],
    shares: t.Mapping[str, float],
    window: tuple[int, int],
    bound: float,
) -> list[Violation]:
    """Check the service gap between continuously backlogged customers.

    :param window: start and end, in wall-clock ms, of the time during which all
        customers are backlogged.
    :param bound: largest allowed gap, in tokens divided by share.
    """
    gap = fairness_gap(samples, shares, *window)
    if gap <= bound:
        return []
    return [Violation("gap", "fleet", f"gap {gap:.0f}, the bound is {bound:.0f}")]


def check_config(
    observations: t.Iterable[ConfigObservation],
    publications: t.Iterable[ConfigPublication],
    limit_ms: int,
) -> list[Violation]:
    """Check that offsets never decrease and take effect everywhere in time.

    A process first observed after the limit of a publication must have that
    offset, or a later one, from its first observation on.

    :param limit_ms: allowed time from publication until every process uses it.
    """
    violations = []
    by_process: dict[str, list[ConfigObservation]] = {}
    for observation in observations:
        by_process.setdefault(observation.process, []).append(observation)
    publications = list(publications)
    for process, seen in by_process.items():
        for before, after in zip(seen, seen[1:], strict=False):
            if after.offset < before.offset:
                detail = f"offset {before.offset} was followed by {after.offset}"
                violations.append(Violation("config", process, detail))
        violations.extend(_check_in_time(process, seen, publications, limit_ms))
    return violations


def _check_in_time(
    process: str,
    seen: list[ConfigObservation],
    publications: list[ConfigPublication],
    limit_ms: int,
) -> list[Violation]:
    violations = []
    for publication in publications:
        due_ms = publication.time_ms + limit_ms
        late = [
            item
            for item in seen
            if item.time_ms > due_ms and item.offset < publication.offset
        ]
        if late:
            detail = (
                f"offset {publication.offset} not in force "
                f"{late[0].time_ms - publication.time_ms} ms after publication"
            )
            violations.append(Violation("config", process, detail))
    return violations
