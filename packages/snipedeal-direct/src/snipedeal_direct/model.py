"""What a router that forwards directly knows: routes, targets and calls."""

import enum
import typing as t

import attrs


class Repeat(enum.Enum):
    """How often the same request may run."""

    FREELY = "freely"
    ONCE = "once"


class TargetState(enum.Enum):
    """What a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class HeaderNames:
    """Names of the headers that carry what the router reads or sets.

    :param stripped: lower-case names that are never passed to a target.
    """

    request_id: bytes
    deadline_ms: bytes
    credential: bytes
    customer: bytes
    expected_target: bytes
    not_run: bytes
    prompt_parts: bytes
    token_counts: bytes
    length_hint: bytes
    resume_after: bytes = b"last-event-id"
    stripped: frozenset[bytes] = frozenset()


@attrs.frozen
class Route:
    """Where requests with a host and a path prefix go.

    :param services: names of services and their weights.
    :param timeout_ms: longest time a caller is kept waiting.
    :param target_latency_ms: time to the answer, or to a stream's first event.
    :param max_attempts: targets that one request may be run on.
    :param is_public: whether it is open without a key.
    :param is_resumable: whether a broken stream may go on at another target.
    :param has_prompt: whether its requests describe a model's prompt.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    repeat: Repeat
    is_stream: bool = False
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False


@attrs.frozen
class EngineLimits:
    """What a batching model engine can hold.

    :param slots: requests that run at once.
    :param memory_tokens: tokens of running requests and cached parts.
    """

    slots: int
    memory_tokens: float


@attrs.frozen
class Service:
    """A service that targets offer.

    :param max_connections: connections a target accepts from all callers.
    :param engine: limits of its model engine, ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None


@attrs.frozen
class CallerLimits:
    """Bounds of what a caller may send, and for how long it may stay idle.

    :param capacity_tokens_per_s: what all targets together produce, zero if
        not known.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 15_000
    capacity_tokens_per_s: float = 0.0


@attrs.frozen
class RouteTable:
    """A version of the configuration.

    :param customers: names of customers by key; ``None`` where no keys are
        asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    customers: dict[str, str] | None = None


@attrs.frozen
class Target:
    """A replica of a service, as it is registered.

    :param id: changes mostly with each start.
    :param started_ms: Unix milliseconds of its start, zero if not said; tells
        two starts with one ``id`` apart.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: TargetState = TargetState.READY
    started_ms: int = 0


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a request says of its prompt.

    :param parts: parts in order; the last belongs to the request itself.
    :param tokens: length of the whole prompt.
    :param output_tokens: expected length of the output.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    output_tokens: int

    @property
    def units(self) -> float:
        """Its share of capacity: tokens read count once, generated ones twice."""
        return self.tokens + 2.0 * self.output_tokens

    @property
    def affinity(self) -> str:
        """The longest part of the prompt that other requests share."""
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id


def parse_prompt(parts: str, counts: str, hint: str) -> Prompt | None:
    """Return the prompt that a request describes, ``None`` if it is unusable.

    :param parts: ``ID:TOKENS`` entries, comma-separated.
    :param counts: prompt tokens and the most output tokens, comma-separated.
    :param hint: expected output tokens, empty if the caller gave none.
    """
    try:
        prompt_text, _, output_text = counts.partition(",")
        listed = []
        for entry in filter(None, parts.split(",")):
            name, _, tokens = entry.strip().partition(":")
            listed.append(PromptPart(name, int(tokens)))
        output = int(output_text or 0)
        if hint:
            output = min(output or int(float(hint)), int(float(hint)))
        prompt = Prompt(tuple(listed), int(prompt_text), output)
    except ValueError:
        return None
    return prompt if prompt.tokens >= 0 else None


Headers = t.Sequence[tuple[bytes, bytes]]


@attrs.define(eq=False)
class Call:
    """One attempt of a caller, from its arrival to its answer.

    Times are monotonic milliseconds.

    :param give_up_ms: when the caller or the route's time-out ends it.
    :param aim_ms: when its answer, or its first event, should be there.
    :param units: its share of the service's capacity.
    """

    id: str
    method: str
    path: bytes
    headers: Headers
    body: bytes
    arrived_ms: float
    give_up_ms: float
    aim_ms: float
    route: Route
    service: str
    customer: str = ""
    prompt: Prompt | None = None
    attempts: int = 0
    tried: set[str] = attrs.Factory(set)
    last_event_id: bytes = b""
    units: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.units = self.prompt.units if self.prompt else 1.0

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be run again after it may have run."""
        return self.route.repeat is Repeat.FREELY
