"""HTTP resources that the router serves to callers."""

import json
import typing as t

import attrs
import falcon
import falcon.asgi

from snipedeal import defaults
from snipedeal.decoding import parse_json
from snipedeal.exceptions import UnreadableError
from snipedeal.serving import add_monitoring_routes
from snipedeal.utils import new_id
from snipedeal.utils import shorten
from snipedeal_router.admission import Admission
from snipedeal_router.admission import HttpRequest
from snipedeal_router.admission import body_too_large
from snipedeal_router.answers import stream_completion
from snipedeal_router.answers import wait_for_response
from snipedeal_router.answers import write_completion
from snipedeal_router.answers import write_plain
from snipedeal_router.disconnects import DISCONNECT_EVENT
from snipedeal_router.disconnects import watch_disconnects
from snipedeal_router.refusals import add_error_handlers
from snipedeal_router.refusals import refused_error
from snipedeal_router.requests import Request

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router

_READ_CHUNK_BYTES = 65_536


def make_app(router: "Router") -> t.Any:
    """Return the ASGI application of a router.

    :param router: the router that the application serves.
    """
    app = falcon.asgi.App(middleware=[_RequestIds(), _ConnectionClosing(router)])
    app.req_options.strip_url_path_trailing_slash = False
    add_error_handlers(app)
    add_monitoring_routes(app, router.node)
    admission = Admission(router)
    model = ModelResource(router, admission)
    app.add_route("/v1/chat/completions", model, suffix="chat")
    app.add_route("/v1/completions", model, suffix="completion")
    app.add_route("/v1/models", model, suffix="models")
    app.add_route("/v1/models/{name}", model, suffix="model")
    app.add_sink(PlainSink(router, admission).handle, "/")
    return watch_disconnects(app)


class _RequestIds:
    """Assign an identifier to every call."""

    async def process_request(self, req: t.Any, resp: t.Any) -> None:
        req.context.request_id = new_id("req")


class _ConnectionClosing:
    """Ask callers to close their connections while the router shuts down."""

    def __init__(self, router: "Router") -> None:
        self._node = router.node

    async def process_response(
        self, req: t.Any, resp: t.Any, resource: t.Any, req_succeeded: bool
    ) -> None:
        if self._node.is_closing:
            resp.set_header("Connection", "close")


class ModelResource:
    """The OpenAI-compatible API; the name of a model is the name of its service.

    :param router: the router that serves the API.
    :param admission: admission control.
    """

    def __init__(self, router: "Router", admission: Admission) -> None:
        self._router = router
        self._admission = admission

    async def on_post_chat(self, req: t.Any, resp: t.Any) -> None:
        """Run a chat completion."""
        await self._complete(req, resp, is_chat=True)

    async def on_post_completion(self, req: t.Any, resp: t.Any) -> None:
        """Run a text completion."""
        await self._complete(req, resp, is_chat=False)

    async def on_get_models(self, req: t.Any, resp: t.Any) -> None:
        """List the model services that the customer may use."""
        customer = _authenticate(self._admission, req)
        names = self._allowed_models(customer)
        resp.media = {"object": "list", "data": [_model(name) for name in names]}

    async def on_get_model(self, req: t.Any, resp: t.Any, name: str) -> None:
        """Describe one model service."""
        customer = _authenticate(self._admission, req)
        self._admission.find_service(customer, name)
        resp.media = _model(name)

    async def _complete(self, req: t.Any, resp: t.Any, is_chat: bool) -> None:
        request, wants_usage = await self._admit(req)
        dispatcher = self._router.plugins["dispatcher"]
        if request.is_streamed:
            await stream_completion(req, resp, request, dispatcher, wants_usage)
        elif await wait_for_response(req, resp, request, dispatcher):
            write_completion(resp, request, is_chat)

    async def _admit(self, req: t.Any) -> tuple[Request, bool]:
        """Return the admitted request, and whether its caller wants usage figures."""
        customer = _authenticate(self._admission, req)
        body = await _read_body(req, self._admission.body_limit())
        call, wants_usage = _parse_completion(req, customer, body)
        service = self._admission.find_service(customer, call.service)
        if service.dialect != "openai":
            raise refused_error(
                404, "not_a_model", f"{shorten(call.service)} is no model", "route"
            )
        call = _with_prompt_units(call, service.prompt_weight)
        request = await self._admission.admit(call)
        req.context.request = request
        return request, wants_usage

    def _allowed_models(self, customer: str) -> list[str]:
        configuration = self._router.node.configuration
        found = configuration.customer(customer)
        return sorted(
            name
            for name, service in configuration.services.items()
            if service.dialect == "openai" and found and found.may_use(name)
        )


class PlainSink:
    """Plain services: any method and any path below the prefix of a service.

    :param router: the router that serves the calls.
    :param admission: admission control.
    """

    def __init__(self, router: "Router", admission: Admission) -> None:
        self._router = router
        self._admission = admission

    async def handle(self, req: t.Any, resp: t.Any, **params: str) -> None:
        """Forward a call to the service with the longest matching prefix."""
        customer = _authenticate(self._admission, req)
        service = self._match_service(req.path)
        if service is None:
            raise refused_error(
                404, "unknown_service", f"nothing at {shorten(req.path)}", "route"
            )
        self._admission.find_service(customer, service)
        request = await self._admit(req, customer, service)
        req.context.request = request
        dispatcher = self._router.plugins["dispatcher"]
        if await wait_for_response(req, resp, request, dispatcher):
            write_plain(resp, request)

    async def _admit(self, req: t.Any, customer: str, service: str) -> Request:
        query = f"?{req.query_string}" if req.query_string else ""
        call = HttpRequest(
            req.context.request_id,
            customer,
            service,
            req.method,
            req.path + query,
            dict(req.headers_lower),
            await _read_body(req, self._admission.body_limit(service)),
        )
        return await self._admission.admit(call)

    def _match_service(self, path: str) -> str | None:
        services = self._router.node.configuration.services
        matches = [
            (len(service.prefix), name)
            for name, service in services.items()
            if service.dialect == "plain" and _is_under_prefix(path, service.prefix)
        ]
        return max(matches)[1] if matches else None


def _authenticate(admission: Admission, req: t.Any) -> str:
    return admission.authenticate(req.get_header("Authorization", default=""))


async def _read_body(req: t.Any, limit: int) -> bytes:
    """Return the body of a call; stop reading once it exceeds the limit.

    :param limit: limit in bytes.
    """
    if (req.content_length or 0) > limit:
        raise body_too_large(limit)
    parts: list[bytes] = []
    size = 0
    while part := await req.stream.read(_READ_CHUNK_BYTES):
        size += len(part)
        if size > limit:
            raise body_too_large(limit)
        parts.append(part)
    if req.scope[DISCONNECT_EVENT].is_set():
        # The stream ends there as it does after a whole body.
        raise refused_error(400, "incomplete", "the body ended early", "read")
    return b"".join(parts)


def _parse_completion(
    req: t.Any, customer: str, body: bytes
) -> tuple[HttpRequest, bool]:
    """Return the call of a completion, and whether its caller wants usage figures.

    The parsed body may take dozens of times its bytes, so that nothing keeps it.
    """
    try:
        fields = parse_json(body)
    except UnreadableError as error:
        raise refused_error(
            400, "bad_json", f"the body is {error.message}", "read"
        ) from None
    if not isinstance(fields, dict) or not isinstance(fields.get("model"), str):
        raise refused_error(
            400, "bad_body", "an object with a model name is needed", "read"
        )
    options = fields.get("stream_options") or {}
    if not isinstance(options, dict):
        raise refused_error(400, "bad_body", "stream_options must be an object", "read")
    limit = fields.get("max_completion_tokens") or fields.get("max_tokens") or 0
    call = HttpRequest(
        req.context.request_id,
        customer,
        fields["model"],
        req.method,
        req.path,
        dict(req.headers_lower),
        body,
        estimate=float(limit) if isinstance(limit, int) and limit > 0 else 0.0,
        is_streamed=fields.get("stream") is True,
        shared_parts=_shared_parts(fields),
    )
    return call, bool(options.get("include_usage"))


def _shared_parts(fields: dict[str, t.Any]) -> tuple[str, ...]:
    """Return the messages that other requests may share: all but the last.

    Of very long conversations only the first ones count, which requests share as the
    conversation grows.
    """
    messages = fields.get("messages")
    if not isinstance(messages, list):
        return ()
    shared = messages[:-1][: defaults.CRASH_TRAITS]
    return tuple(json.dumps(message, sort_keys=True) for message in shared)


def _with_prompt_units(call: HttpRequest, prompt_weight: float) -> HttpRequest:
    tokens = len(call.body) / defaults.BYTES_PER_PROMPT_TOKEN
    return attrs.evolve(call, prompt_units=tokens * prompt_weight)


def _is_under_prefix(path: str, prefix: str) -> bool:
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


def _model(name: str) -> dict[str, t.Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "snipedeal"}
