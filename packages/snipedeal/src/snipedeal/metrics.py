"""Define the metrics of a process, with bounded label cardinality.

A label per customer would let the number of time series grow without bound. Only
the first :data:`~snipedeal.defaults.METRIC_CUSTOMERS_LIMIT` customers that a process
serves get their own label value; all others share ``other``. The event timeline
and the status page give the exact service of every customer.
"""

import attrs
from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

from snipedeal import defaults

_WAIT_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120)
_OTHER_LABEL = "other"


@attrs.define
class CustomerLabels:
    """Assign label values to a limited number of customers.

    :param limit: number of customers with a label value of their own.
    """

    limit: int = defaults.METRIC_CUSTOMERS_LIMIT
    _labelled: set[str] = attrs.Factory(set)

    def label(self, customer: str) -> str:
        """Return the customer's name, or ``other`` once the limit is reached."""
        if customer in self._labelled:
            return customer
        if len(self._labelled) >= self.limit:
            return _OTHER_LABEL
        self._labelled.add(customer)
        return customer


class Metrics:
    """Metrics of routers and agents.

    A process updates only those that apply to it; the others have no samples.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._reported_bytes: dict[tuple[str, str], int] = {}
        self.customers = CustomerLabels()
        self.requests = Counter(
            "snipedeal_requests",
            "Requests by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self.queue_length = Gauge(
            "snipedeal_queue_length",
            "Requests waiting at this process.",
            ["service"],
            registry=self.registry,
        )
        self.queue_wait = Histogram(
            "snipedeal_queue_wait_seconds",
            "Time from acceptance to dispatch.",
            ["service"],
            buckets=_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.first_chunk = Histogram(
            "snipedeal_first_part_seconds",
            "Time from acceptance to the first part of the answer.",
            ["service"],
            buckets=_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.service_units = Counter(
            "snipedeal_service_units",
            "Service received by customer, in service units.",
            ["service", "customer"],
            registry=self.registry,
        )
        self.fairness_gap = Gauge(
            "snipedeal_fairness_gap_units",
            "Largest difference in virtual time between backlogged customers.",
            ["service"],
            registry=self.registry,
        )
        self.slot_seconds = Counter(
            "snipedeal_slot_seconds",
            "Slot time by use: busy, idle, or idle although work was offered.",
            ["service", "use"],
            registry=self.registry,
        )
        self.bytes = Counter(
            "snipedeal_peer_bytes",
            "Bytes between the project's processes, by message code.",
            ["direction", "code"],
            registry=self.registry,
        )
        self.config_offset = Gauge(
            "snipedeal_config_offset",
            "Log offset of the configuration in force.",
            registry=self.registry,
        )
        self.retries = Counter(
            "snipedeal_retries",
            "Attempts after the first, by what became of the wish to retry.",
            ["service", "verdict"],
            registry=self.registry,
        )
        self.platform_errors = Counter(
            "snipedeal_platform_errors",
            "Calls to the platform that failed.",
            ["step"],
            registry=self.registry,
        )

        self.refused_input = Counter(
            "snipedeal_refused_input",
            "Callers of the HTTP interface that a limit refused, by limit.",
            ["limit"],
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all samples in the Prometheus text format."""
        return generate_latest(self.registry)

    def update_byte_counters(self, direction: str, totals: dict[str, int]) -> None:
        """Advance the byte counters to the current totals of a transport.

        :param direction: ``sent`` or ``received``.
        :param totals: bytes by message code since the start.
        """
        for code, total in totals.items():
            previous_total = self._reported_bytes.get((direction, code), 0)
            self._reported_bytes[direction, code] = total
            self.bytes.labels(direction, code).inc(total - previous_total)
