"""Exchange of a target's load between routers: the report of it and its effect."""

from snipedeal_direct import defaults
from snipedeal_direct.gossip import LimitReport
from snipedeal_direct.gossip import TargetReport
from snipedeal_direct.load import TargetLoad


def make_target_report(service: str, load: TargetLoad) -> TargetReport:
    """Return the report of this router's load on a target.

    Remaining events are rounded up: they change with each event of a stream, and only
    what changed is reported.
    """
    own = load.own
    step = defaults.REPORTED_EVENTS_STEP
    return TargetReport(
        service,
        load.target.id,
        int(own.prefill_tokens),
        own.running,
        int(own.reserved_tokens),
        int(load.speed.own.tokens),
        int(load.speed.own.busy_ms),
        -int(-own.remaining_events // step) * step,
        int(own.remaining_work_ms),
        own.forecast,
        int(load.work_speed.own.tokens),
        int(load.work_speed.own.busy_ms),
    )


def apply_target_report(
    load: TargetLoad, peer: str, report: TargetReport, heard_ms: float
) -> None:
    """Replace what a peer reported of a target before.

    :param heard_ms: monotonic time of the report.
    """
    load.set_peer(peer, report)
    load.speed.set_peer(peer, report.measured_tokens, report.measured_ms, heard_ms)
    load.work_speed.set_peer(peer, report.worked_ms, report.worked_busy_ms, heard_ms)


def make_limit_report(load: TargetLoad, now_ms: float) -> LimitReport:
    """Return the report of a rate limit that a target names, or of its end."""
    target = load.target
    limit = load.limit.limit if load.limit else None
    age_ms = int(max(0.0, now_ms - load.limit_seen_ms))
    return LimitReport(target.service, target.id, target.started_ms, limit, age_ms)
