"""A request inside the router, from acceptance to its end."""

import asyncio
import enum

import attrs

from snipedeal.answer import Answer
from snipedeal.schemas import Service

NOT_RUN = "not_run"
MAY_HAVE_RUN = "may_have_run"
RAN = "ran"


class Phase(enum.Enum):
    """Where a request is."""

    NEW = "new"
    QUEUED = "queued"
    DISPATCHED = "dispatched"
    ENDED = "ended"


@attrs.frozen
class Refusal:
    """Why a request has no whole answer.

    :param status: HTTP status for the caller.
    :param code: short name of the kind of refusal.
    :param ran: ``not_run`` or ``may_have_run``.
    :param step: the step at which it arose.
    :param peer: the process concerned, if any.
    :param retry_after_s: when the caller may try again, zero for no advice.
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
    """An accepted request.

    :param id: identifier, on every log line, event and message about it.
    :param estimate: upper limit of its cost, zero where unknown.
    :param prompt_units: service units of its prompt.
    :param deadline_ms: monotonic time by which it must be answered.
    :param has_waited: whether it was given a place in the queue.
    :param claim_key: hash of the idempotency key, empty for idempotent ones.
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
    has_waited: bool = False
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
    has_first_part: bool = False
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def is_ended(self) -> bool:
        """Whether the outcome is known."""
        return self.phase is Phase.ENDED

    @property
    def ran(self) -> str:
        """What a refusal now would have to say about running."""
        return MAY_HAVE_RUN if self.may_have_run else NOT_RUN

    def remaining_ms(self, now_ms: int) -> int:
        """Return the time left until the deadline, at least zero."""
        return max(0, self.deadline_ms - now_ms)

    def notify(self) -> None:
        """Wake whoever waits for progress."""
        self.changed.set()
        self.changed = asyncio.Event()
