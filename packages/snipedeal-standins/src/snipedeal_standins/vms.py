"""Simulated VM list service of the platform."""

import hashlib
import json
import time

import attrs
import falcon
import falcon.asgi

from snipedeal_standins.serving import serve


@attrs.define
class _Version:
    """The VM list as of ``from_ms``, in Unix milliseconds."""

    from_ms: int
    vms: dict[str, dict]


class VmListService:
    """Serve past versions of the VM list to simulate a stale list."""

    def __init__(self) -> None:
        self._lag_ms = 0
        self._is_out = False
        self._versions = [_Version(0, {})]

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the list as it was ``lag_ms`` ago."""
        if self._is_out:
            raise falcon.HTTPServiceUnavailable
        as_of_ms = _now_ms() - self._lag_ms
        version = next(v for v in reversed(self._versions) if v.from_ms <= as_of_ms)
        body = json.dumps(list(version.vms.values()))
        etag = hashlib.sha256(body.encode()).hexdigest()[:16]
        resp.set_header("X-As-Of-Ms", str(as_of_ms))
        resp.etag = etag
        if req.get_header("If-None-Match", default="").strip('"') == etag:
            resp.status = falcon.HTTP_304
            return
        resp.content_type = falcon.MEDIA_JSON
        resp.text = body

    async def on_put_vm(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Add a VM or replace its entry."""
        entry = await req.get_media()
        self._append_version({**self._versions[-1].vms, name: {**entry, "name": name}})

    async def on_delete_vm(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Remove a VM from the list."""
        vms = dict(self._versions[-1].vms)
        vms.pop(name, None)
        self._append_version(vms)

    async def on_post_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Change the lag and the simulated outage."""
        changes = await req.get_media()
        self._lag_ms = changes.get("lag_ms", self._lag_ms)
        self._is_out = changes.get("is_out", self._is_out)

    def _append_version(self, vms: dict[str, dict]) -> None:
        self._versions.append(_Version(_now_ms(), vms))
        # Keeps the initial empty list, which is old enough for any lag.
        del self._versions[1:-1_000]


def _now_ms() -> int:
    return int(time.time() * 1000)


def make_app() -> falcon.asgi.App:
    """Return the service's ASGI application."""
    app = falcon.asgi.App()
    service = VmListService()
    app.add_route("/vms", service)
    app.add_route("/vms/{name}", service, suffix="vm")
    app.add_route("/control", service, suffix="control")
    return app


def run(*, http: str) -> None:
    """Run a VM list service.

    :param http: host:port to listen on.
    """
    serve(make_app(), http)
