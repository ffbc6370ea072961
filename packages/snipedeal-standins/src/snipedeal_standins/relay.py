"""A TCP relay that can cut connections or let them go silent."""

import asyncio
import typing as t

import falcon.asgi

from snipedeal_standins.serving import serve

_CHUNK = 65_536


class Relay:
    """Forward connections until told otherwise.

    Modes: ``pass`` forwards, ``silent`` keeps connections open but drops
    what they carry, those opened later included, ``silence_open`` does so for
    the connections that are open now only, ``cut`` closes and refuses.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._mode = "pass"
        self._generation = 0
        self._silent_until = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def on_post(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Change the mode."""
        mode = (await req.get_media())["mode"]
        if mode == "silence_open":
            self._silent_until = self._generation
            mode = "pass"
        self._mode = mode
        if mode == "cut":
            for writer in list(self._writers):
                writer.close()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        if self._mode == "cut":
            writer.close()
            return
        self._generation += 1
        number = self._generation
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.close()
            return
        self._writers |= {writer, back_writer}
        await asyncio.gather(
            self._pump(reader, back_writer, number),
            self._pump(back_reader, writer, number),
        )
        self._writers -= {writer, back_writer}

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if self._mode == "silent" or number <= self._silent_until:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


def run(*, listen: str, target: str, http: str) -> None:
    """Run a relay.

    :param listen: host:port to accept connections on.
    :param target: host:port to forward them to.
    :param http: host:port of the control side, POST / with a mode.
    """
    relay = Relay(target)
    host, _, port = listen.rpartition(":")
    app = falcon.asgi.App()
    app.add_route("/control", t.cast(t.Any, relay))

    class _Startup:
        async def process_startup(self, scope: t.Any, event: t.Any) -> None:
            await asyncio.start_server(relay.accept, host, int(port))

    app.add_middleware(_Startup())
    serve(app, http, lifespan="on")
