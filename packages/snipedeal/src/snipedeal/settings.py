"""Settings of routers and agents, read from JSON files and validated on loading."""

import attrs

from snipedeal import defaults
from snipedeal.checking import FieldError
from snipedeal.checking import in_range
from snipedeal.checking import one_of
from snipedeal.checking import starting_with
from snipedeal.loading import load_settings as load_settings
from snipedeal.logs import level_names


@attrs.frozen
class PlatformSettings:
    """Addresses and retention of the platform's services.

    :param log_url: base URL of the log service.
    :param vm_list_url: base URL of the VM list.
    :param log_retention_ms: time for which the log retains records.
    """

    log_url: str = attrs.field(validator=starting_with("http://", "https://"))
    vm_list_url: str = attrs.field(validator=starting_with("http://", "https://"))
    log_retention_ms: int = attrs.field(
        default=7 * 24 * 3_600_000, validator=in_range(1_000, 10_000_000_000)
    )


@attrs.frozen
class NodeSettings:
    """Settings that routers and agents have in common.

    :param name: name of the process's VM in the VM list.
    :param listen: address that the process binds for peer connections.
    :param http: ``host:port`` of its HTTP server.
    :param advertise: address at which peers connect to it; ``listen`` if empty.
    :param log_level: lowest severity that is logged.
    :param vm_list_stale_ms: time without a newer VM list, read or relayed, after
        which the list counts as stale.
    :param shutdown_limit_ms: longest duration of a graceful shutdown.
    :param max_header_bytes: largest head of a request, without the request line's
        method and version.
    :param max_connections: connections to the HTTP server; 0 for 0.65 of the
        descriptors that the process may open.
    :param max_memory_mb: memory of the VM, MB, which bounds what is held for callers; 0
        for what the kernel tells.
    :param receive_timeout_ms: time in which a request must be complete, and in which a
        caller must read some of a response.
    """

    name: str
    region: str
    zone: str
    listen: str = attrs.field(validator=starting_with("tcp://"))
    http: str = attrs.field()
    platform: PlatformSettings = attrs.field()
    advertise: str = ""
    log_level: str = attrs.field(default="info", validator=one_of(*level_names()))
    vm_list_stale_ms: int = attrs.field(
        default=defaults.VM_LIST_STALE_MS, validator=in_range(500, 3_600_000)
    )
    shutdown_limit_ms: int = attrs.field(
        default=defaults.SHUTDOWN_LIMIT_MS, validator=in_range(100, 3_600_000)
    )
    max_header_bytes: int = attrs.field(
        default=defaults.MAX_HEADER_BYTES, validator=in_range(1_024, 1_048_576)
    )
    max_connections: int = attrs.field(default=0, validator=in_range(0, 10_000_000))
    max_memory_mb: float = attrs.field(default=0, validator=in_range(0, 10_000_000))
    receive_timeout_ms: int = attrs.field(
        default=defaults.RECEIVE_TIMEOUT_MS, validator=in_range(1_000, 3_600_000)
    )

    @http.validator
    def _check_http(self, attribute: attrs.Attribute, value: str) -> None:
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise FieldError(
                attribute, f"{value!r} is not host:port with a port of 1..65535"
            )

    @property
    def http_host(self) -> str:
        """Host of the HTTP server."""
        return self.http.rpartition(":")[0]

    @property
    def http_port(self) -> int:
        """Port of the HTTP server."""
        return int(self.http.rpartition(":")[2])


@attrs.frozen
class RouterSettings:
    """Settings of a router.

    :param claim_partitions: number of log streams among which idempotency keys are
        partitioned; must be equal in all routers of a fleet.
    :param max_queued: limit of queued requests at this router, all customers
        together.
    :param placement: name of a registered placement function.
    """

    node: NodeSettings
    claim_partitions: int = attrs.field(
        default=defaults.CLAIM_PARTITIONS, validator=in_range(1, 1_024)
    )
    max_queued: int = attrs.field(default=20_000, validator=in_range(1, 1_000_000))
    placement: str = "prefix"


@attrs.frozen
class AgentSettings:
    """Settings of an agent, the sidecar process of a target.

    :param service: the service that the target runs.
    :param target_url: base URL of the target.
    :param dialect: name of a registered target dialect.
    :param slots: requests that the target runs concurrently; zero to ask it.
    :param holds_when_list_is_stale: accept no new work while the VM list is
        stale, see ``vm_list_stale_ms``.
    :param prompt_weight: cost of a prompt token in service units; an output token
        costs one.
    :param rate_limit_header: name of the response header in which the target names the
        requests a second that it takes; empty if it names none.
    :param leaving_header: name of the response header in which the target says with the
        value 1 that it leaves; empty if it does not.
    """

    node: NodeSettings
    service: str
    target_url: str = attrs.field(validator=starting_with("http://", "https://"))
    dialect: str = "openai"
    slots: int = attrs.field(default=0, validator=in_range(0, 100_000))
    holds_when_list_is_stale: bool = True
    prompt_weight: float = attrs.field(
        default=defaults.DEFAULT_PROMPT_WEIGHT, validator=in_range(0, 10)
    )
    rate_limit_header: str = ""
    leaving_header: str = ""
