"""Prometheus metrics of the direct router."""

import resource
import typing as t

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from snipedeal_direct.load import InFlightCall
from snipedeal_direct.memory import KIND_NAMES
from snipedeal_direct.memory import MemoryAccount

if t.TYPE_CHECKING:
    from snipedeal_direct.ingress import IngressServer

_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 5, 10, 20)
_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.8, 1.25, 2, 4, 10)


class DirectMetrics:
    """Metrics of one process.

    Label values come from the configuration and from fixed sets, which bounds the
    number of series.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "snipedeal_answers",
            "Answers to callers by service, status and reason.",
            ["service", "status", "reason"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "snipedeal_attempts",
            "Requests sent to targets by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.retries = Counter(
            "snipedeal_repeats",
            "Wishes to send a request once more, by verdict.",
            ["service", "verdict"],
            registry=self.registry,
        )
        self.target_crashes = Counter(
            "snipedeal_direct_target_crashes",
            "Crashes of targets while calls of this router were unanswered there.",
            ["service"],
            registry=self.registry,
        )
        self.targets_leaving = Counter(
            "snipedeal_direct_targets_leaving",
            "Targets that told this router in a response that they leave.",
            ["service"],
            registry=self.registry,
        )
        self.target_pauses = Counter(
            "snipedeal_direct_target_pauses",
            "Responses in which a target asked for a time without requests.",
            ["service"],
            registry=self.registry,
        )
        self.targets_cold = Counter(
            "snipedeal_direct_targets_cold",
            "Times that a target became cold, as this router knows it.",
            ["service"],
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "snipedeal_direct_evacuated",
            "Whether the operator has evacuated an availability zone.",
            ["zone"],
            registry=self.registry,
        )
        self.odd_entries = Counter(
            "snipedeal_direct_odd_entries",
            "Values of other processes that could not be used, by where they stood.",
            ["origin"],
            registry=self.registry,
        )
        self.store_era = Gauge(
            "snipedeal_direct_store_era",
            "Era of the platform's store in which a change feed was read last.",
            ["feed"],
            registry=self.registry,
        )
        self.task_failures = Counter(
            "snipedeal_direct_task_failures",
            "Background tasks that failed and were started again.",
            ["task"],
            registry=self.registry,
        )
        self.quarantined = Gauge(
            "snipedeal_direct_quarantined_traits",
            "Traits of requests in quarantine because they crashed targets.",
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "snipedeal_direct_queue_wait_seconds",
            "Time from arrival to the send to a target.",
            ["service"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.first_part = Histogram(
            "snipedeal_direct_first_part_seconds",
            "Time from arrival to the answer or a stream's first event.",
            ["service"],
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.units = Counter(
            "snipedeal_direct_units",
            "Capacity units of calls with prompts by outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.cost_ratio = Histogram(
            "snipedeal_direct_cost_ratio",
            "Actual by expected cost of complete calls: events of streams (output), "
            "time of calls without prompts (work).",
            ["service", "kind"],
            buckets=_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.fair_share = Gauge(
            "snipedeal_direct_fair_share_units",
            "Fair share of a customer in a share window; +Inf without scarcity.",
            ["service"],
            registry=self.registry,
        )
        self.loop_lag = Gauge(
            "snipedeal_direct_loop_lag_seconds",
            "How late the event loop runs its timers.",
            registry=self.registry,
        )
        self.received_bytes = Gauge(
            "snipedeal_direct_received_bytes",
            "Bytes that connections to targets, peers and the store hold.",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "snipedeal_direct_held_bytes",
            "Memory held for callers and targets, by what it is held for.",
            ["kind"],
            registry=self.registry,
        )
        self.prefix_entries = Gauge(
            "snipedeal_direct_prefix_entries",
            "Prompt parts in the estimates of all targets' prefix caches.",
            registry=self.registry,
        )
        self.held_limit_bytes = Gauge(
            "snipedeal_direct_held_limit_bytes",
            "Limit of the memory held for callers and targets.",
            registry=self.registry,
        )
        self.resident_bytes = Gauge(
            "snipedeal_direct_peak_resident_bytes",
            "Peak of the resident memory of the process.",
            registry=self.registry,
        )
        self.caller_connections = Gauge(
            "snipedeal_direct_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self.closed_connections = Gauge(
            "snipedeal_direct_closed_connections",
            "Connections of callers that gave way since the start, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.waiting = Gauge(
            "snipedeal_waiting",
            "Calls that wait at this router.",
            ["service"],
            registry=self.registry,
        )
        self.connects = Counter(
            "snipedeal_target_connections",
            "Connections opened to targets.",
            registry=self.registry,
        )
        self.store_calls = Counter(
            "snipedeal_store_calls",
            "Calls to the platform's store by outcome.",
            ["call", "outcome"],
            registry=self.registry,
        )
        self.config_version = Gauge(
            "snipedeal_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.log_dropped = Gauge(
            "snipedeal_log_lines_dropped",
            "Log lines that were not written.",
            registry=self.registry,
        )

    def note_cost(self, service: str, in_flight: InFlightCall) -> None:
        """Record the actual cost of a call that has ended, if one was expected."""
        ratio = in_flight.cost_ratio
        if ratio is not None:
            self.cost_ratio.labels(service, in_flight.cost_kind).observe(ratio)

    def note_memory(self, account: MemoryAccount, ingress: "IngressServer") -> None:
        """Set the metrics of the memory held and of the callers' connections."""
        for name, held in zip(KIND_NAMES, account.amounts, strict=True):
            self.held_bytes.labels(name).set(held)
        self.held_limit_bytes.set(account.limit_bytes)
        peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.resident_bytes.set(peak_kib * 1024)
        self.caller_connections.set(len(ingress.connections))
        for reason, count in ingress.relief.closed.items():
            self.closed_connections.labels(reason).set(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
