"""The naive version to compare with: one queue a router, round robin, no exchange.

Each router has a fixed number of slots at each target, so that all routers
together fill the targets, and serves its queue in order of arrival.
"""

import asyncio
import itertools
import json
import typing as t

import aiohttp
import defopt
import falcon.asgi

from snipedeal_standins.serving import serve


class NaiveRouter:
    """Queue calls and pass them to targets in turn.

    :param targets: base URLs of the engines.
    :param slots: calls that this router has open at one engine.
    """

    def __init__(self, targets: list[str], slots: int) -> None:
        self._places = {target: asyncio.Semaphore(slots) for target in targets}
        self._turn = itertools.cycle(targets)
        self._session: aiohttp.ClientSession | None = None

    async def on_post(self, req: t.Any, resp: t.Any) -> None:
        """Pass one call on as a stream."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        body = await req.stream.read()
        resp.content_type = "text/event-stream"
        resp.stream = self._pass_on(next(self._turn), body)

    async def _pass_on(self, target: str, body: bytes) -> t.AsyncIterator[bytes]:
        fields = {**json.loads(body), "stream": True}
        async with (
            self._places[target],
            self._session.post(f"{target}/v1/chat/completions", json=fields) as answer,
        ):
            async for data in answer.content.iter_any():
                yield data


def run(*, http: str, targets: str, slots: int) -> None:
    """Run a naive router.

    :param http: host:port to listen on.
    :param targets: base URLs of engines, with commas between.
    :param slots: calls that it has open at one engine.
    """
    app = falcon.asgi.App()
    app.add_route("/v1/chat/completions", NaiveRouter(targets.split(","), slots))
    serve(app, http)


if __name__ == "__main__":
    defopt.run(run)
