"""State of a request in the router, from admission to its end."""

import asyncio
import enum

import attrs

from snipedeal.answer import Answer
from snipedeal.schemas import Service

NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
RAN = "ran"


class Phase(enum.Enum):
    """Processing phase of a request."""

    NEW = "new"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ENDED = "ended"


@attrs.frozen
class Refusal:
    """The reason why a request has no complete response.

    :param status: HTTP status for the caller.
    :param code: problem code of the refusal.
    :param ran: ``not_run`` or ``may_have_run``.
    :param step: processing step at which the request was refused.
    :param peer: name of the process involved, if any.
    :param retry_after_s: value of the Retry-After header in seconds, zero for none.
    """

    status: int
    code: str
    detail: str
    ran: str
    step: str
    peer: str = ""
    retry_after_s: int = 0


@attrs.define(eq=False)
class Request:
    """An admitted request.

    :param id: identifier in log lines, events and messages about the request.
    :param spec: configuration of the service.
    :param weight: the customer's share of the service.
    :param fingerprint: hash of the content, equal for repeated requests.
    :param traits: hashes by which it is known if it crashes a target, see
        :mod:`snipedeal.quarantine`.
    :param is_probe: whether it tries whether its traits still crash targets.
    :param arrived_ms: monotonic time of admission.
    :param deadline_ms: monotonic time by which it must be answered.
    :param estimate: upper limit of its cost in service units, zero if unknown.
    :param prompt_units: cost of the prompt in service units.
    :param claim_key: hash of the idempotency key, empty if the request is idempotent.
    :param was_queued: whether the request was ever queued.
    :param attempts: number of attempts dispatched.
    :param attempt: identifier of the current attempt, empty while queued.
    :param gate: gate of the current attempt, empty while queued.
    :param may_have_run: whether any attempt may have run.
    :param may_have_run_before: value of ``may_have_run`` before the current attempt,
        restored if the gate declines it.
    :param dispatched_ms: monotonic time at which the current attempt was dispatched.
    :param status: HTTP status of the complete response, zero before.
    :param answer_headers: headers of the complete response.
    :param cost: service received, in service units.
    :param has_first_chunk: whether a chunk of the response has been received.
    :param changed: set at the next progress, then replaced by a new event.
    """

    id: str
    customer: str
    service: str
    spec: Service
    weight: float
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    fingerprint: str
    is_idempotent: bool
    arrived_ms: int
    deadline_ms: int
    estimate: float = 0.0
    prompt_units: float = 0.0
    claim_key: str = ""
    was_queued: bool = False
    is_streamed: bool = False
    phase: Phase = Phase.NEW
    answer: Answer = attrs.Factory(Answer)
    attempts: int = 0
    dispatched_ms: int = 0
    attempt: str = ""
    gate: str = ""
    may_have_run: bool = False
    may_have_run_before: bool = False
    status: int = 0
    answer_headers: dict[str, str] = attrs.Factory(dict)
    cost: float = 0.0
    refusal: Refusal | None = None
    has_first_chunk: bool = False
    changed: asyncio.Event = attrs.Factory(asyncio.Event)
    traits: frozenset[int] = frozenset()
    is_probe: bool = False

    @property
    def is_ended(self) -> bool:
        """Whether the outcome is known."""
        return self.phase is Phase.ENDED

    @property
    def ran(self) -> str:
        """The value of ``ran`` that a refusal would report now."""
        return MAY_HAVE_RUN if self.may_have_run else NOT_RUN

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time left until the deadline, at least zero."""
        return max(0, self.deadline_ms - now_ms)

    def notify(self) -> None:
        """Wake the tasks that wait for progress."""
        self.changed.set()
        self.changed = asyncio.Event()
