"""Typed messages between the project's processes, registered by wire code."""

import typing as t

import attrs

#: Message classes by wire code.
MESSAGE_TYPES: dict[str, type] = {}

#: Codes of messages that carry requests and answers rather than control.
DATA_CODES: set[str] = set()

#: Names of the fields of each message in wire order.
FIELD_NAMES: dict[str, list[str]] = {}
_T = t.TypeVar("_T", bound=type)


def register_message(code: str, is_data: bool = False) -> t.Callable[[_T], _T]:
    """Register a message class under its wire code.

    :param code: short name on the wire, unique.
    :param is_data: whether its bytes count as data rather than control.
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
    """Keep a link observed while work depends on it."""


@register_message("view")
@attrs.frozen
class VmView:
    """Relay what the sender last read from the VM list.

    :param as_of_ms: wall time of the platform at which the list was true.
    :param leaving: names of the VMs that are leaving.
    """

    as_of_ms: int
    leaving: list[str]


@register_message("view_ask")
@attrs.frozen
class ViewAsk:
    """Ask a peer for its view of the VM list, when the list can't be read."""


@register_message("offer")
@attrs.frozen
class Offer:
    """Tell a gate how much work of a customer waits at the sender.

    :param weight: the customer's share of the service.
    :param count: queued requests; zero withdraws the offer.
    """

    service: str
    customer: str
    weight: float
    count: int


@register_message("seek")
@attrs.frozen
class Seek:
    """Ask a router for offers, by a gate that has room and knows of no work."""

    service: str


@register_message("take")
@attrs.frozen
class Take:
    """Ask a router for the next request of a customer.

    :param ticket: number of the slot reservation at the asking gate.
    """

    service: str
    customer: str
    ticket: int


@register_message("empty")
@attrs.frozen
class Empty:
    """Answer a :class:`Take` for which no request waits any more."""

    service: str
    customer: str
    ticket: int


@register_message("dispatch", is_data=True)
@attrs.frozen
class Dispatch:
    """Hand one attempt of a request to a gate.

    :param attempt: identifier of this attempt, unique in the fleet.
    :param request: identifier of the request in logs and events.
    :param dialect: name of the service's dialect, ``openai`` or ``plain``.
    :param estimate: expected cost in service units, charged on admission.
    :param ticket: the reservation being answered; zero where none was made,
        in which case the gate answers :class:`Busy` unless it can start now.
    :param remaining_ms: time left until the caller's deadline.
    :param is_solo: run it only while nothing else runs on the target.
    :param headers: headers to pass on, lower case.
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


@register_message("resume")
@attrs.frozen
class Resume:
    """Ask for the parts of a running or finished attempt from an offset.

    :param offset: number of chunks that the router already holds.
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
    """Stop an attempt whose caller has gone."""

    attempt: str


@register_message("busy")
@attrs.frozen
class Busy:
    """Decline an attempt that has not run and never will at this gate.

    :param reason: why, such as ``"slots"``, ``"leaving"``, ``"expired"``.
    """

    attempt: str
    reason: str


@register_message("part", is_data=True)
@attrs.frozen
class Part:
    """Carry chunks of an answer.

    :param offset: index of the first chunk within the answer.
    :param chunks: payloads in order.
    """

    attempt: str
    offset: int
    chunks: list[bytes]


@register_message("done", is_data=True)
@attrs.frozen
class Done:
    """End an attempt.

    :param outcome: ``ok``, ``failed``, ``crashed``, ``lost``, ``unknown`` or
        ``not_run``.
    :param total: number of chunks of the whole answer.
    :param status: HTTP status of the target, zero where it gave none.
    :param cost: service received in service units.
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
class Load:
    """Report a gate's room for work.

    :param free: slots not in use.
    :param state: ``up``, ``down``, ``leaving`` or ``stale``.
    """

    service: str
    free: int
    slots: int
    state: str


class CustomerDelta(t.NamedTuple):
    """Service given to a customer since the last exchange.

    It is an array on the wire, since many go in one message.

    :param units: service units divided by the customer's share.
    :param known: the customer's virtual time as the sender last knew it.
    """

    units: int
    known: int


@register_message("delta")
@attrs.frozen
class ServiceDelta:
    """Send service given since the last exchange to the customers' owner.

    :param floor: smallest virtual time among the sender's backlogged
        customers, or a negative number where it has none.
    """

    service: str
    items: dict[str, CustomerDelta]
    floor: float


@register_message("total")
@attrs.frozen
class ServiceTotal:
    """Answer a :class:`ServiceDelta` with the owner's sums.

    :param items: virtual time by customer.
    """

    service: str
    items: dict[str, int]
    floor: float


@register_message("claim_ask")
@attrs.frozen
class ClaimAsk:
    """Ask the home of a key for the right to run an attempt once.

    :param fingerprint: hash of the request's content.
    """

    key: str
    attempt: str
    fingerprint: str


@register_message("claim_answer")
@attrs.frozen
class ClaimAnswer:
    """Answer a :class:`ClaimAsk`.

    :param verdict: ``granted``, ``running``, ``finished``, ``mismatch``,
        ``unavailable`` or ``incomplete``.
    :param offset: log offset of the claim that owns the key.
    :param owner: attempt that owns the key.
    :param status: recorded HTTP status of a finished request.
    :param body: recorded answer, empty where it was too large to keep.
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
    """Record the proven end of a claimed attempt.

    :param is_released: the attempt is proven not to have run, and the key is
        free again.
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
    """Say that a :class:`ClaimClose` is in the log."""

    attempt: str


@register_message("config_ask")
@attrs.frozen
class ConfigAsk:
    """Ask a peer for its configuration, for a start during a log outage."""

    offset: int


@register_message("config_answer")
@attrs.frozen
class ConfigAnswer:
    """Carry a peer's configuration as a snapshot record and its offset."""

    offset: int
    snapshot: bytes


@register_message("incident")
@attrs.frozen
class Incident:
    """Report a crash of a target to peers when the log may be out.

    :param crash: identifier of the crash, so that it is counted once.
    :param fingerprints: requests that were running at the target.
    """

    crash: str
    target: str
    fingerprints: list[str]
    is_solo: bool


@register_message("order")
@attrs.frozen
class Order:
    """Order a target to load a model version or adapter, or change role.

    :param fence: fencing number, the log offset of the giver's lease.
    """

    order: str
    fence: int
    action: str
    name: str
    version: str


@register_message("order_done")
@attrs.frozen
class OrderDone:
    """Answer an :class:`Order`.

    :param outcome: ``done``, ``stale`` or ``failed``.
    """

    order: str
    outcome: str
    fence_seen: int
