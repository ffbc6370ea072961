"""Define the messages between processes, registered by their wire code."""

import typing as t

import attrs

#: Message classes, by wire code.
MESSAGE_TYPES: dict[str, type] = {}

#: Codes of messages that carry requests or responses; all others are control.
DATA_CODES: set[str] = set()

#: Field names of each message class in wire order, by wire code.
FIELD_NAMES: dict[str, list[str]] = {}
_T = t.TypeVar("_T", bound=type)


def register_message(code: str, is_data: bool = False) -> t.Callable[[_T], _T]:
    """Register a message class under its wire code.

    :param code: short name on the wire, unique.
    :param is_data: whether its bytes count as data traffic rather than control.
    """

    def decorate(cls: _T) -> _T:
        MESSAGE_TYPES[code] = cls
        FIELD_NAMES[code] = [field.name for field in attrs.fields(cls)]
        cls.code = code
        if is_data:
            DATA_CODES.add(code)
        return cls

    return decorate


@register_message("beat")
@attrs.frozen
class Heartbeat:
    """Prompt an acknowledgement, to detect the loss of a peer that work depends on."""


@register_message("view")
@attrs.frozen
class VmView:
    """Relay the newest state of the VM list known to the sender.

    :param as_of_ms: platform wall time at which the list was current.
    :param leaving: names of the VMs that are leaving.
    """

    as_of_ms: int
    leaving: list[str]


@register_message("view_ask")
@attrs.frozen
class VmViewRequest:
    """Request a peer's view of the VM list because the list can't be read."""


@register_message("offer")
@attrs.frozen
class Offer:
    """Advertise to a gate the queued requests of a customer at a router.

    :param weight: the customer's share of the service.
    :param count: number of queued requests; zero withdraws the offer.
    """

    service: str
    customer: str
    weight: float
    count: int


@register_message("seek")
@attrs.frozen
class OfferRequest:
    """Request offers from a router; sent by a gate with free slots and no offers."""

    service: str


@register_message("take")
@attrs.frozen
class PullRequest:
    """Request the next queued request of a customer from a router.

    :param ticket: number of the slot reservation at the sending gate.
    """

    service: str
    customer: str
    ticket: int


@register_message("empty")
@attrs.frozen
class PullEmpty:
    """Answer a :class:`PullRequest` when the customer has no queued request left."""

    service: str
    customer: str
    ticket: int


@register_message("dispatch", is_data=True)
@attrs.frozen
class Dispatch:
    """Dispatch one attempt of a request to a gate.

    :param attempt: identifier of this attempt, unique in the fleet.
    :param request: identifier of the request in logs and events.
    :param weight: the customer's share of the service.
    :param dialect: protocol of the service, ``openai`` or ``plain``.
    :param headers: headers to forward, with lower-case names.
    :param estimate: upper limit of the cost in service units as given by the caller,
        zero for none; the gate charges no more than this on admission.
    :param prompt_units: cost of the prompt in service units.
    :param remaining_ms: time left until the caller's deadline.
    :param fingerprint: hash of the request's content.
    :param ticket: slot reservation that this message answers, or zero if there is
        none; without one, the gate answers :class:`DispatchDeclined` unless the
        attempt can start at once.
    :param is_solo: run the attempt only while nothing else runs on the target.
    :param traits: hashes by which the request is known if it crashes the target, see
        :mod:`snipedeal.quarantine`.
    :param repeated: those of them that were suspects when it was dispatched.
    """

    attempt: str
    request: str
    service: str
    customer: str
    weight: float
    dialect: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    estimate: float
    prompt_units: float
    remaining_ms: int
    is_idempotent: bool
    fingerprint: str
    ticket: int = 0
    is_solo: bool = False
    traits: list[int] = attrs.field(factory=list)
    repeated: list[int] = attrs.field(factory=list)


@register_message("resume")
@attrs.frozen
class Resume:
    """Request the response chunks of a running or finished attempt.

    :param offset: number of chunks that the router already has.
    :param remaining_ms: time left until the caller's deadline.
    """

    attempt: str
    dialect: str
    service: str
    customer: str
    weight: float
    request: str
    offset: int
    remaining_ms: int
    is_idempotent: bool
    fingerprint: str


@register_message("cancel")
@attrs.frozen
class Cancel:
    """Cancel an attempt whose response is no longer needed.

    An attempt that is not idempotent and already runs is not cancelled.
    """

    attempt: str


@register_message("busy")
@attrs.frozen
class DispatchDeclined:
    """Decline an attempt that has not run and will not run at this gate.

    :param reason: state of the gate as in :class:`CapacityReport`; ``up`` if it is
        open but can't start the attempt at once.
    """

    attempt: str
    reason: str


@register_message("part", is_data=True)
@attrs.frozen
class ResponseChunks:
    """Carry chunks of a response.

    :param offset: index of the first chunk within the response.
    :param chunks: consecutive chunks.
    """

    attempt: str
    offset: int
    chunks: list[bytes]


@register_message("done", is_data=True)
@attrs.frozen
class AttemptFinished:
    """Report the end of an attempt.

    :param outcome: ``ok``, ``failed``, ``crashed``, ``lost``, ``cancelled``,
        ``unknown`` or ``not_run``.
    :param total: number of chunks that the attempt produced.
    :param status: HTTP status returned by the target, zero if there was none.
    :param cost: service received, in service units.
    """

    attempt: str
    outcome: str
    total: int = 0
    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    cost: float = 0.0
    detail: str = ""


@register_message("load")
@attrs.frozen
class CapacityReport:
    """Report the free capacity of a gate.

    :param free: number of free slots.
    :param slots: number of all slots.
    :param state: ``up``, ``down``, ``leaving``, ``paused`` while the target wants no
        requests or, if the gate's VM list is too old, ``stale``.
    :param pause_ms: time until a paused gate takes requests again.
    """

    service: str
    free: int
    slots: int
    state: str
    pause_ms: int = 0


class CustomerDelta(t.NamedTuple):
    """Service that a customer received since the last exchange.

    It is encoded as an array, which keeps messages with many customers small.

    :param units: service units divided by the customer's share.
    :param known_virtual_time: the customer's virtual time as last known to the sender.
    """

    units: int
    known_virtual_time: int


@register_message("delta")
@attrs.frozen
class ServiceDelta:
    """Send the service delivered since the last exchange to the owner of the sums.

    :param items: deltas by customer.
    :param min_virtual_time: smallest virtual time among the sender's backlogged
        customers, or a negative number if it has none.
    """

    service: str
    items: dict[str, CustomerDelta]
    min_virtual_time: float


@register_message("total")
@attrs.frozen
class ServiceTotal:
    """Answer a :class:`ServiceDelta` with the owner's sums.

    :param items: virtual time by customer.
    :param min_virtual_time: smallest virtual time among the owner's backlogged
        customers, or a negative number if it has none.
    """

    service: str
    items: dict[str, int]
    min_virtual_time: float


@register_message("claim_ask")
@attrs.frozen
class ClaimRequest:
    """Claim the right to run an attempt at most once.

    The message goes to the router that owns the partition of the idempotency key.

    :param key: hash of customer, service and idempotency key.
    :param fingerprint: hash of the request's content.
    """

    key: str
    attempt: str
    fingerprint: str


@register_message("claim_answer")
@attrs.frozen
class ClaimResponse:
    """Answer a :class:`ClaimRequest`.

    :param verdict: ``granted``, ``running``, ``finished``, ``mismatch``,
        ``unavailable`` or ``incomplete``.
    :param offset: log offset of the claim that owns the key.
    :param owner: attempt that owns the key.
    :param status: recorded HTTP status of a finished request.
    :param body: recorded response body, empty if it was too large to keep.
    :param has_body: whether the body was recorded.
    """

    key: str
    attempt: str
    verdict: str
    offset: int = -1
    owner: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    has_body: bool = False


@register_message("claim_close")
@attrs.frozen
class ClaimClose:
    """Record the end of a claimed attempt, once it is certain.

    :param is_released: whether the attempt certainly did not run, so that the key
        can be claimed again.
    :param has_body: whether ``body`` is recorded; one that is too large is not.
    """

    key: str
    attempt: str
    is_released: bool
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    has_body: bool = False


@register_message("claim_closed")
@attrs.frozen
class ClaimClosed:
    """Acknowledge that a :class:`ClaimClose` was appended to the log."""

    attempt: str


@register_message("config_ask")
@attrs.frozen
class ConfigRequest:
    """Request a peer's configuration, in order to start during a log outage.

    :param offset: log offset of the sender's configuration; only a peer with a
        newer one answers.
    """

    offset: int


@register_message("config_answer")
@attrs.frozen
class ConfigResponse:
    """Carry a configuration snapshot.

    :param offset: log offset of the configuration.
    :param snapshot: JSON array with the texts of the snapshot records.
    """

    offset: int
    snapshot: bytes


@register_message("incident")
@attrs.frozen
class Incident:
    """Report a target crash to peers directly, in case the log is unavailable.

    :param crash: identifier of the crash, by which duplicates are discarded.
    :param fingerprints: fingerprints of the requests running on the target; empty if
        the report only tells that traits were cleared.
    :param is_solo: whether the only running request was dispatched to run alone.
    :param standings: traits of the unanswered requests, and what is known of each.
    """

    crash: str
    target: str
    fingerprints: list[str]
    is_solo: bool
    standings: list[tuple[int, int]] = attrs.field(factory=list)


@register_message("order")
@attrs.frozen
class Order:
    """Order a target to load a model version or adapter, or to change its role.

    :param order: identifier of the order.
    :param fencing_token: log offset of the sending router's lease.
    :param action: ``load_model``, ``load_adapter`` or ``role``.
    """

    order: str
    fencing_token: int
    action: str
    name: str
    version: str


@register_message("order_done")
@attrs.frozen
class OrderDone:
    """Answer an :class:`Order`.

    :param outcome: ``done``, ``stale`` or ``failed``.
    :param newest_fencing_token: newest token that the target's agent has seen.
    """

    order: str
    outcome: str
    newest_fencing_token: int
