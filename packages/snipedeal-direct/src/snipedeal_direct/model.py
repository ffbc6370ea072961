"""Data types of the direct router: routes, targets, prompts and calls."""

import enum
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.prompts import group_parts
from snipedeal_direct.prompts import list_parts
from snipedeal_direct.warmup import ColdTerms


class RetryPolicy(enum.Enum):
    """Whether a request may be sent again once a target may have run it."""

    IDEMPOTENT = "freely"
    AT_MOST_ONCE = "once"


class TargetState(enum.Enum):
    """State that a target reports about itself."""

    READY = "ready"
    LEAVING = "leaving"


@attrs.frozen
class HeaderNames:
    """Names of the HTTP headers that the router reads or sets.

    :param customer: set by the router to the customer of the API key.
    :param expected_target: set by the router to the ID of the target; another target
        that has taken over the address answers with status 421.
    :param not_run: set by a target that declined a request without running it.
    :param prompt_parts: describes the prompt, together with ``token_counts`` and
        ``length_hint``; see :func:`parse_prompt`.
    :param rate_limit: set by a target in its responses to the requests a second that it
        takes from all routers together.
    :param leaving: set to ``1`` by a target in its responses once it leaves.
    :param cold_ms: set by a target that is cold to the time for which it stays so, ms.
    :param resume_after: ID of the last stream event that the caller received.
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
    rate_limit: bytes
    leaving: bytes
    cold_ms: bytes = b""
    resume_after: bytes = b"last-event-id"
    stripped: frozenset[bytes] = frozenset()


@attrs.frozen
class Route:
    """Rule that maps requests with a host and a path prefix to services.

    :param services: names of services and their weights in a traffic split.
    :param timeout_ms: time after which the router gives up on a request.
    :param target_latency_ms: latency target of the response, or of a stream's first
        event.
    :param max_attempts: maximum number of targets that one request may run on.
    :param is_stream: whether its responses are event streams, whose duration is
        unknown.
    :param is_public: whether callers need no API key.
    :param is_resumable: whether a broken stream may be resumed at another target.
    :param has_prompt: whether its requests describe the prompt of a model.
    :param longest_pause_ms: longest acceptable pause between events of a stream, zero
        if none is configured.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    retry_policy: RetryPolicy
    is_stream: bool = False
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    longest_pause_ms: float = 0.0


@attrs.frozen
class EngineLimits:
    """Limits of a model engine that batches requests.

    :param slots: maximum number of concurrent requests.
    :param memory_tokens: memory for running requests and the prefix cache, tokens.
    :param longest_pause_ms: longest pause between events of a stream that all routes to
        it accept, zero if none is configured.
    """

    slots: int
    memory_tokens: float
    longest_pause_ms: float = 0.0


@attrs.frozen
class Service:
    """A service that targets offer.

    :param max_connections: connections that a target accepts from all clients.
    :param engine: limits of its model engine, ``None`` for a plain service.
    :param cold_terms: what its targets bear while they are cold, ``None`` if that is no
        less than usual.
    """

    name: str
    max_connections: int
    engine: EngineLimits | None = None
    cold_terms: ColdTerms | None = None


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests and idle connections, and the fleet's capacity.

    :param capacity_tokens_per_s: capacity of all targets together, zero if unknown.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 15_000
    capacity_tokens_per_s: float = 0.0


@attrs.frozen
class RouteTable:
    """A version of the configuration.

    :param customers: names of customers by API key; ``None`` if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    customers: dict[str, str] | None = None


@attrs.frozen
class Target:
    """A replica of a service, as registered.

    :param id: usually new with each start of the replica.
    :param started_ms: start time, Unix ms, zero if unknown; distinguishes two
        instances with the same ``id``.
    :param cold_ms: time for which it stays cold, as of its registration.
    """

    id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    state: TargetState = TargetState.READY
    started_ms: int = 0
    cold_ms: float = 0.0

    @property
    def instance(self) -> str:
        """Identifier of one start of the target, the same at all routers."""
        return f"{self.id}/{self.started_ms}"


@attrs.frozen
class PromptPart:
    """A part of a prompt, which a target may have in its prefix cache.

    In a prompt of very many parts, it is a group of them.
    """

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """A prompt as described by its request.

    :param parts: parts in order; the last one is specific to the request.
    :param tokens: length of the whole prompt.
    :param output_tokens: expected length of the output, tokens.
    :param listing: the header that lists all parts, if ``parts`` are groups of them.
    :param shared_ids: IDs of all parts but the last.
    :param shared_tokens: tokens of all parts but the last.
    """

    parts: tuple[PromptPart, ...]
    tokens: int
    output_tokens: int
    listing: str = ""
    shared_ids: tuple[str, ...] = attrs.field(init=False, eq=False, repr=False)
    shared_tokens: int = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        ids = tuple(part.id for part in self.parts[:-1])
        object.__setattr__(self, "shared_ids", ids)
        tokens = sum(part.tokens for part in self.parts[:-1])
        object.__setattr__(self, "shared_tokens", tokens)

    def shared_part_ids(self) -> t.Iterable[str]:
        """Return the IDs of all parts but the last, without groups."""
        if not self.listing:
            return self.shared_ids
        ids = [part_id for part_id, _ in list_parts(self.listing)]
        return ids[:-1]

    @property
    def held_bytes(self) -> int:
        """Memory that it takes beside the headers that describe it, bytes."""
        return len(self.parts) * defaults.PROMPT_PART_BYTES + len(self.listing)

    @property
    def units(self) -> float:
        """Cost in units of capacity: one per prompt token, two per output token."""
        return self.tokens + 2.0 * self.output_tokens

    @property
    def affinity(self) -> str:
        """ID of the last part that other requests may share, for prefix affinity.

        With a single part, it is that part.
        """
        if not self.parts:
            return ""
        return self.parts[-2].id if len(self.parts) > 1 else self.parts[-1].id


def parse_prompt(parts: str, counts: str, hint: str) -> Prompt | None:
    """Parse the prompt headers of a request; return ``None`` if they are invalid.

    :param parts: ``ID:TOKENS`` entries, comma-separated.
    :param counts: prompt tokens and maximum output tokens, comma-separated.
    :param hint: expected output tokens, empty if the caller gave none.
    """
    try:
        entries = [(key, _parse_tokens(tokens)) for key, tokens in list_parts(parts)]
        groups = group_parts(entries)
        return Prompt(
            tuple(PromptPart(key, tokens) for key, tokens in groups),
            *_parse_counts(counts, hint),
            listing=parts if groups is not entries else "",
        )
    except (ValueError, OverflowError):
        return None


def parse_prompt_units(counts: str, hint: str) -> float:
    """Return the cost of a prompt without its parts, as :attr:`Call.units`.

    :param counts: prompt tokens and maximum output tokens, comma-separated.
    :param hint: expected output tokens, empty if the caller gave none.
    """
    try:
        return Prompt((), *_parse_counts(counts, hint)).units
    except (ValueError, OverflowError):
        return 1.0


def _parse_counts(counts: str, hint: str) -> tuple[int, int]:
    """Return the tokens of a prompt and of its expected output."""
    prompt_text, _, output_text = counts.partition(",")
    output = _parse_tokens(output_text or "0")
    if hint:
        expected = _parse_tokens(str(int(float(hint))))
        output = min(output or expected, expected)
    return _parse_tokens(prompt_text), output


def _parse_tokens(text: str) -> int:
    """Return a number of tokens.

    :raises ValueError: it is none of 0..``PROMPT_TOKENS_LIMIT``.
    """
    tokens = int(text)
    if not 0 <= tokens <= defaults.PROMPT_TOKENS_LIMIT:
        raise ValueError(f"{tokens} tokens")
    return tokens


Headers = t.Iterable[tuple[bytes, bytes]]


@attrs.define(eq=False)
class Call:
    """A request as received from a caller, until its response is complete.

    If the caller retries it, that is another call. Times are monotonic milliseconds.

    :param deadline_ms: the caller's deadline or the end of the route's timeout,
        whichever is earlier.
    :param latency_deadline_ms: arrival plus latency target: when the response, or
        its first event, is due.
    :param attempts: number of targets that may have run it.
    :param tried: IDs of targets that must not get it again.
    :param is_begun: whether the caller has received the first event of a stream.
    :param is_suspect: whether a target crashed before it answered the call.
    :param is_probe: whether it tries whether its traits still crash targets.
    :param last_event_id: ID of the last stream event that the caller received; a
        target resumes the stream after it.
    :param traits: hashes by which it is known if it crashes a target, computed on first
        use; see :func:`snipedeal_direct.crashes.call_traits`. A set of thousands would
        take forty times the memory of an array.
    :param spent_ms: time that the event loop has spent on it, ms.
    :param units: cost in units of the service's capacity; one without a prompt.
    """

    id: str
    method: str
    path: bytes
    headers: Headers
    body: bytes
    arrived_ms: float
    deadline_ms: float
    latency_deadline_ms: float
    route: Route
    service: str
    customer: str = ""
    prompt: Prompt | None = None
    attempts: int = 0
    tried: set[str] = attrs.Factory(set)
    is_begun: bool = False
    is_suspect: bool = False
    is_probe: bool = False
    last_event_id: bytes = b""
    traits: frozenset[int] | t.Sequence[int] | None = None
    spent_ms: float = 0.0
    units: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.units = self.prompt.units if self.prompt else 1.0

    def note_spent(self, spent_ms: float) -> None:
        """Add time that the event loop has spent on the call."""
        self.spent_ms += spent_ms

    @property
    def is_idempotent(self) -> bool:
        """Whether it may be sent again once a target may have run it."""
        return self.route.retry_policy is RetryPolicy.IDEMPOTENT
