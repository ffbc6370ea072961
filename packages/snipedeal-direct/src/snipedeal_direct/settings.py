"""Settings of a router that forwards directly; a JSON file, checked."""

import attrs

from snipedeal.checking import FieldError
from snipedeal.checking import in_range
from snipedeal.checking import one_of
from snipedeal.logs import level_names
from snipedeal_direct import defaults


def _check_address(instance: object, attribute: attrs.Attribute, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise FieldError(
            attribute, f"{value!r} is not host:port with a port of 1..65535"
        )


def split_address(value: str) -> tuple[str, int]:
    """Return host and port of a checked address."""
    host, _, port = value.rpartition(":")
    return host, int(port)


@attrs.frozen
class SourceSettings:
    """Where configuration, targets and peers are learned.

    :param adapter: name of the module that registers the source.
    :param address: ``host:port`` of the platform's store.
    """

    adapter: str
    address: str = attrs.field(validator=_check_address)


@attrs.frozen
class BoundSettings:
    """What the operators ask of the fleet.

    :param grace_s: time from SIGTERM to SIGKILL.
    :param retry_ratio: repeats of requests, as a share of requests.
    :param retry_window_s: the window over which repeats are counted.
    :param retry_slack: repeats in a window beyond the share, fleet-wide.
    :param share_window_s: the window over which customers' shares are counted.
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
        """The window over which repeats are counted, ms."""
        return self.retry_window_s * 1000

    @property
    def share_window_ms(self) -> float:
        """The window over which customers' shares are counted, ms."""
        return self.share_window_s * 1000


@attrs.frozen
class DirectSettings:
    """What a router that forwards directly has to know.

    :param listen: ``host:port`` for callers.
    :param ready: ``host:port`` of the readiness question.
    :param metrics: ``host:port`` of the metrics.
    :param peer: ``host:port`` at which other routers reach it, over TCP and UDP.
    :param max_descriptors: files and sockets that the process may open.
    :param max_lag_ms: new calls are refused while timers fire later than this.
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
