"""Admission control: check calls, acquire claims and submit requests."""

import hashlib
import math
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.claims import FINISHED
from snipedeal.claims import GRANTED
from snipedeal.claims import MISMATCH
from snipedeal.claims import RUNNING
from snipedeal.messages import ClaimClose
from snipedeal.messages import ClaimResponse
from snipedeal.schemas import ANY
from snipedeal.schemas import KEY_HASH_PREFIX
from snipedeal.schemas import Customer
from snipedeal.schemas import Service
from snipedeal.utils import shorten
from snipedeal.utils import stable_hash
from snipedeal_router.claimhome import INCOMPLETE
from snipedeal_router.dispatcher import DEADLINE_OUT_OF_REACH
from snipedeal_router.refusals import RefusedError
from snipedeal_router.refusals import refused_error
from snipedeal_router.requests import MAY_HAVE_RUN
from snipedeal_router.requests import NOT_RUN
from snipedeal_router.requests import Phase
from snipedeal_router.requests import Refusal
from snipedeal_router.requests import Request

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "x-idempotent"
DEADLINE_HEADER = "x-deadline-ms"
_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_HASH_HEX_DIGITS = 32
_MAX_KEY_LENGTH = 256
_CHUNK_SEPARATOR = b"\n"


@attrs.frozen
class HttpRequest:
    """A call, that is, the HTTP request of a caller with its complete body.

    :param path: path and, for a plain service, the query string.
    :param headers: all headers, names in lower case.
    :param estimate: upper limit of its cost in service units, zero if unknown.
    :param prompt_units: cost of the prompt in service units.
    :param shared_parts: parts of the content that other requests may share.
    """

    id: str
    customer: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    estimate: float = 0.0
    prompt_units: float = 0.0
    is_streamed: bool = False
    shared_parts: tuple[str, ...] = ()


class Admission:
    """Admit calls as requests, or refuse them.

    :param router: the router that admits the calls.
    """

    def __init__(self, router: "Router") -> None:
        self._router = router
        self._node = router.node

    def authenticate(self, authorization: str) -> str:
        """Return the customer whose bearer key a header contains.

        :param authorization: value of the header, empty if it is absent.
        :raises RefusedError: the key is missing or unknown, or the router is not
            ready.
        """
        self._check_ready()
        if not _bearer_key(authorization):
            raise refused_error(401, "no_key", "a bearer key is needed", "authenticate")
        customer = self.identify(authorization)
        if not customer:
            raise refused_error(401, "wrong_key", "the key is unknown", "authenticate")
        return customer

    def identify(self, authorization: str) -> str:
        """Return the customer whose bearer key a header contains, empty if none."""
        key = _bearer_key(authorization)
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self._node.configuration.find_customer(KEY_HASH_PREFIX + digest)
        return found or ""

    def find_service(self, customer: str, name: str) -> Service:
        """Return a service that a customer may use.

        :raises RefusedError: the service does not exist, or the customer may not use
            it.
        """
        service = self._node.configuration.services.get(name)
        if service is None:
            detail = f"no service {shorten(name)}"
            raise refused_error(404, "unknown_service", detail, "route")
        if not self._customer(customer).may_use(name):
            detail = f"service {name!r} is not open to {customer}"
            raise refused_error(403, "not_open", detail, "authorize")
        return service

    def body_limit(self, service: str = ANY) -> int:
        """Return the limit of the body size in bytes.

        :param service: name of a service; for any other value, the largest limit
            of all services is returned.
        """
        services = self._node.configuration.services
        if service in services:
            return services[service].max_body_bytes
        return max(
            (known.max_body_bytes for known in services.values()),
            default=defaults.DEFAULT_MAX_BODY_BYTES,
        )

    async def admit(self, call: HttpRequest) -> Request:
        """Admit a call and submit it, or replay its recorded response.

        :raises RefusedError: the call is refused; the refusal says whether it may
            have run.
        """
        service = self.find_service(call.customer, call.service)
        if len(call.body) > service.max_body_bytes:
            raise body_too_large(service.max_body_bytes)
        request = self._make_request(call, service)
        self._check_quarantine(request)
        self._check_queue_limits(request)
        if request.is_idempotent:
            self._submit(request)
            return request
        response = await self._router.plugins["claims"].acquire(
            request.claim_key, request.id, request.fingerprint
        )
        self._node.events.add(
            "request.claim", request.id, verdict=response.verdict, owner=response.owner
        )
        if response.verdict == GRANTED:
            self._node.run_task(self._close_claim(request), "claim-close")
            self._submit(request)
        elif response.verdict == FINISHED and response.has_body:
            _replay_response(request, response)
        else:
            raise RefusedError(_claim_refusal(response))
        return request

    def _submit(self, request: Request) -> None:
        if self._node.is_closing:
            self._router.plugins["dispatcher"].refuse(
                request, 503, "shutdown", "the router is closing", "admit"
            )
            return
        self._router.plugins["dispatcher"].submit(request)

    def _customer(self, name: str) -> Customer:
        """Return the configuration of an authenticated customer.

        :raises RefusedError: the customer was deleted after the authentication.
        """
        customer = self._node.configuration.customer(name)
        if customer is None:
            raise refused_error(
                401, "wrong_key", "the customer is gone", "authenticate"
            )
        return customer

    def _check_ready(self) -> None:
        node = self._node
        if node.is_closing:
            raise _unavailable("shutdown", "the router is closing")
        if not node.configuration.is_complete:
            raise _unavailable("not_ready", "no configuration is in force yet")

    def _make_request(self, call: HttpRequest, service: Service) -> Request:
        now_ms = self._node.clock.now_ms()
        customer = self._customer(call.customer)
        is_idempotent = _is_idempotent(call, service)
        key = "" if is_idempotent else _claim_key(call)
        request = Request(
            id=call.id,
            customer=call.customer,
            service=call.service,
            spec=service,
            weight=customer.share(call.service),
            method=call.method,
            path=call.path,
            headers=_forwarded_headers(call.headers),
            body=call.body,
            fingerprint=_fingerprint(call),
            is_idempotent=is_idempotent,
            arrived_ms=now_ms,
            deadline_ms=now_ms + _deadline_ms(call, service),
            estimate=call.estimate,
            prompt_units=call.prompt_units,
            claim_key=key,
            is_streamed=call.is_streamed,
            traits=_traits(call),
        )
        self._node.events.add(
            "request.accepted",
            request.id,
            customer=request.customer,
            service=request.service,
            idempotent=is_idempotent,
        )
        return request

    def _check_quarantine(self, request: Request) -> None:
        if self._router.plugins["incidents"].is_refused(request):
            detail = "requests with this content crashed the targets that ran them"
            raise refused_error(422, "quarantined", detail, "admit")

    def _check_queue_limits(self, request: Request) -> None:
        dispatcher = self._router.plugins["dispatcher"]
        customer = self._customer(request.customer)
        waiting = dispatcher.queued_count(request.service, request.customer)
        if waiting >= customer.max_queued:
            detail = f"{waiting} requests of {request.customer} wait already"
            raise refused_error(
                429, "queue_full", detail, "queue", defaults.RETRY_AFTER_S
            )
        if dispatcher.queued >= self._router.settings.max_queued:
            raise _unavailable("router_full", "too many requests wait at this router")
        now_ms = self._node.clock.now_ms()
        pause_ms = dispatcher.pause_ms(request.service)
        if pause_ms > request.remaining_ms(now_ms):
            detail = f"all targets want no requests for {pause_ms} ms"
            retry_after_s = math.ceil(pause_ms / 1000)
            raise refused_error(503, "paused", detail, "queue", retry_after_s)
        response_ms = dispatcher.expected_response_ms(request.service, request.customer)
        if response_ms > request.remaining_ms(now_ms):
            detail = f"the wait would be {response_ms} ms, beyond the deadline"
            retry_after_s = max(1, (response_ms - request.remaining_ms(now_ms)) // 1000)
            raise refused_error(
                429, DEADLINE_OUT_OF_REACH, detail, "queue", retry_after_s
            )

    async def _close_claim(self, request: Request) -> None:
        """Record the outcome of a claimed request, or release its claim.

        If the request may have run but has no complete response, the claim stays
        open, so that nothing else can run under the key.
        """
        while not request.is_ended:
            changed = request.changed
            await changed.wait()
        if request.refusal is None:
            self._record_outcome(request)
        elif request.ran == NOT_RUN:
            self._router.plugins["claims"].record_end(
                ClaimClose(request.claim_key, request.id, is_released=True)
            )

    def _record_outcome(self, request: Request) -> None:
        separator = b"" if request.spec.dialect == "plain" else _CHUNK_SEPARATOR
        body = separator.join(request.answer.chunks)
        has_body = len(body) <= defaults.CLAIM_OUTCOME_BODY_LIMIT_BYTES
        self._router.plugins["claims"].record_end(
            ClaimClose(
                request.claim_key,
                request.id,
                is_released=False,
                status=request.status,
                content_type=request.answer_headers.get("content-type", ""),
                body=body if has_body else b"",
                has_body=has_body,
            )
        )


def _bearer_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def body_too_large(limit: int) -> RefusedError:
    """Return the error that refuses a body over the limit.

    :param limit: limit in bytes.
    """
    return refused_error(413, "body_too_large", f"the limit is {limit} bytes", "read")


def _replay_response(request: Request, response: ClaimResponse) -> None:
    """End a request with the response recorded for its idempotency key."""
    if request.spec.dialect == "plain":
        request.answer.chunks = [response.body]
    else:
        request.answer.chunks = response.body.split(_CHUNK_SEPARATOR)
    request.status = response.status
    request.answer_headers = {
        "content-type": response.content_type,
        "idempotent-replayed": "true",
    }
    request.phase = Phase.ENDED


def _claim_refusal(response: ClaimResponse) -> Refusal:
    if response.verdict == RUNNING:
        detail = f"the key belongs to {response.owner}, whose end is not known"
        return Refusal(409, "key_in_use", detail, MAY_HAVE_RUN, "claim")
    if response.verdict == FINISHED:
        detail = f"{response.owner} ran; its answer was too large to keep"
        return Refusal(409, "already_run", detail, MAY_HAVE_RUN, "claim")
    if response.verdict == MISMATCH:
        detail = "the key was used for a request with another content"
        return Refusal(422, "key_reused", detail, NOT_RUN, "claim")
    if response.verdict == INCOMPLETE:
        detail = "the record of earlier keys has a gap"
        return Refusal(503, "claims_incomplete", detail, NOT_RUN, "claim")
    detail = "the log service does not confirm the claim"
    return Refusal(
        503,
        "claims_unavailable",
        detail,
        NOT_RUN,
        "claim",
        retry_after_s=defaults.RETRY_AFTER_S,
    )


def _is_idempotent(call: HttpRequest, service: Service) -> bool:
    if call.headers.get(IDEMPOTENT_HEADER, "").lower() in ("false", "no", "0"):
        return False
    if service.idempotent == "by_method":
        return service.dialect == "openai" or call.method in _SAFE_METHODS
    return service.idempotent == "always"


def _claim_key(call: HttpRequest) -> str:
    key = call.headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if not key or len(key) > _MAX_KEY_LENGTH:
        detail = f"an Idempotency-Key of 1 to {_MAX_KEY_LENGTH} characters is needed"
        raise refused_error(400, "no_idempotency_key", detail, "admit")
    text = "\x00".join((call.customer, call.service, key))
    return hashlib.sha256(text.encode()).hexdigest()[:_HASH_HEX_DIGITS]


def _fingerprint(call: HttpRequest) -> str:
    digest = hashlib.sha256()
    for part in (call.customer, call.service, call.method, call.path):
        digest.update(part.encode() + b"\x00")
    digest.update(call.body)
    return digest.hexdigest()[:_HASH_HEX_DIGITS]


def _traits(call: HttpRequest) -> frozenset[int]:
    """Return the hashes by which a request is known if it crashes a target."""
    return frozenset(stable_hash("part", part) for part in call.shared_parts)


def _deadline_ms(call: HttpRequest, service: Service) -> int:
    text = call.headers.get(DEADLINE_HEADER, "")
    if not text:
        return service.deadline_ms
    if not text.isdigit() or int(text) < 1:
        raise refused_error(
            400, "bad_deadline", f"{DEADLINE_HEADER} must be a number", "admit"
        )
    return min(int(text), service.deadline_ms)


def _forwarded_headers(headers: dict[str, str]) -> dict[str, str]:
    dropped = {
        "authorization",
        "host",
        "connection",
        "content-length",
        "transfer-encoding",
        "keep-alive",
        "upgrade",
        "te",
        "trailer",
        "accept-encoding",
        "proxy-authorization",
        "expect",
    }
    return {name: value for name, value in headers.items() if name not in dropped}


def _unavailable(code: str, detail: str) -> RefusedError:
    return refused_error(503, code, detail, "admit", defaults.RETRY_AFTER_S)
