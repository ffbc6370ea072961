"""Settings of the direct router, read from a JSON file and validated."""

import math
import os

import attrs

from snipedeal.checking import FieldError
from snipedeal.checking import in_range
from snipedeal.checking import one_of
from snipedeal.logs import level_names
from snipedeal_direct import defaults

#: Environment variable with the memory of the VM, MB, for files that do not set it.
MEMORY_VARIABLE = "SNIPEDEAL_MEMORY_MB"


def _memory_of_vm() -> float:
    """Return the memory of the VM that the environment tells, MB.

    Without it, it is that of the smallest VM. A text that is no number gives NaN,
    which no range admits.
    """
    try:
        return float(os.environ.get(MEMORY_VARIABLE, defaults.MAX_MEMORY_MB))
    except ValueError:
        return math.nan


def _check_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise FieldError(
            attribute, f"{value!r} is not host:port with a port of 1..65535"
        )


def split_address(value: str) -> tuple[str, int]:
    """Return host and port of a validated address."""
    host, _, port = value.rpartition(":")
    return host, int(port)


@attrs.frozen
class SourceSettings:
    """Source of the configuration, the targets and the peers.

    :param adapter: name of the module that registers the source.
    :param address: ``host:port`` of the platform's store.
    """

    adapter: str
    address: str = attrs.field(validator=_check_address)


@attrs.frozen
class BoundSettings:
    """Operators' requirements for shutdown, retries and fair sharing.

    :param grace_s: time from SIGTERM to SIGKILL.
    :param retry_ratio: allowed retries, as a share of requests.
    :param retry_window_s: window over which retries are counted.
    :param retry_slack: retries in a window beyond the ratio, fleet-wide.
    :param share_window_s: window over which customers' shares are computed.
    """

    grace_s: float = attrs.field(validator=in_range(0.5, 600))
    retry_ratio: float = attrs.field(validator=in_range(0, 10))
    retry_window_s: float = attrs.field(validator=in_range(0.1, 3_600))
    retry_slack: float = attrs.field(validator=in_range(0, 1_000_000))
    share_window_s: float = attrs.field(default=4.0, validator=in_range(0.1, 600))

    @property
    def grace_ms(self) -> float:
        """Time from SIGTERM to SIGKILL, ms."""
        return self.grace_s * 1000

    @property
    def retry_window_ms(self) -> float:
        """Window over which retries are counted, ms."""
        return self.retry_window_s * 1000

    @property
    def share_window_ms(self) -> float:
        """Window over which customers' shares are computed, ms."""
        return self.share_window_s * 1000


@attrs.frozen
class DirectSettings:
    """Settings of a direct router.

    :param name: name of the router, unique in the fleet.
    :param zone: availability zone that the router runs in.
    :param listen: ``host:port`` for callers.
    :param ready: ``host:port`` of the readiness probe.
    :param metrics: ``host:port`` of the Prometheus metrics.
    :param peer: ``host:port`` for other routers, over TCP and UDP.
    :param learns_costs: whether targets are compared by what calls turned out to cost.
    :param max_descriptors: file descriptors that the process may open.
    :param max_memory_mb: memory of the VM, MB; bounds what is held for callers. If it
        is not set, the environment variable ``SNIPEDEAL_MEMORY_MB`` tells it.
    :param max_lag_ms: event loop lag above which new calls are refused.
    """

    name: str
    zone: str
    listen: str = attrs.field(validator=_check_address)
    ready: str = attrs.field(validator=_check_address)
    metrics: str = attrs.field(validator=_check_address)
    peer: str = attrs.field(validator=_check_address)
    source: SourceSettings = attrs.field()
    bounds: BoundSettings = attrs.field()
    log_level: str = attrs.field(default="info", validator=one_of(*level_names()))
    max_lag_ms: float = attrs.field(
        default=defaults.LAG_LIMIT_MS, validator=in_range(1, 1e12)
    )
    max_descriptors: int = attrs.field(
        default=3_000, validator=in_range(200, 10_000_000)
    )
    learns_costs: bool = False
    max_memory_mb: float = attrs.field(
        default=attrs.Factory(_memory_of_vm), validator=in_range(100, 10_000_000)
    )
