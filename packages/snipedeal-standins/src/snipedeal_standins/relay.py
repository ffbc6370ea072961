"""A TCP relay that can delay, reset, cut or silence connections."""

import asyncio
import contextlib
import enum
import typing as t

import attrs
import falcon.asgi

from snipedeal_standins.serving import serve

_CHUNK = 65_536


class RelayMode(enum.Enum):
    """What a relay does with bytes and new connections.

    ``SILENT`` keeps connections open and drops what they carry, ``MUTE`` drops
    only what comes back; ``CUT`` closes and refuses. A connection that lost
    bytes stays silent for ever, as one in a network does.
    """

    PASS = "pass"
    SILENT = "silent"
    MUTE = "mute"
    CUT = "cut"


@attrs.define(eq=False)
class _Pair:
    """The two connections of one relayed connection."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silenced: bool = False


class Relay:
    """Forward connections until told otherwise.

    :param target: ``host:port`` that connections are forwarded to.
    """

    def __init__(self, target: str) -> None:
        self.mode = RelayMode.PASS
        self.delay_ms = 0.0
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()

    @property
    def address(self) -> str:
        """``host:port`` that it listens on."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def close(self) -> None:
        """Stop listening and break off what is open."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, mode: RelayMode) -> None:
        """Change what happens to connections."""
        self.mode = mode
        if mode is RelayMode.CUT:
            for pair in self._pairs:
                for writer in pair.writers:
                    writer.close()

    def silence_open(self) -> None:
        """Let the open connections go silent; new ones work."""
        for pair in self._pairs:
            pair.is_silenced = True

    def reset(self) -> None:
        """Reset the open connections; new ones work."""
        for pair in list(self._pairs):
            for writer in pair.writers:
                writer.transport.abort()

    async def on_post(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Change the mode."""
        mode = (await req.get_media())["mode"]
        if mode == "silence_open":
            self.silence_open()
            mode = "pass"
        self.set_mode(RelayMode(mode))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.mode is RelayMode.CUT:
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair((writer, back_writer))
        self._pairs.add(pair)
        # close() cancels it, and asyncio would log that as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(pair, reader, back_reader)

    async def _forward(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        back_reader: asyncio.StreamReader,
    ) -> None:
        writer, back_writer = pair.writers
        try:
            await asyncio.gather(
                self._pump(pair, reader, back_writer, is_answer=False),
                self._pump(pair, back_reader, writer, is_answer=True),
            )
        finally:
            self._pairs.discard(pair)
            for end in pair.writers:
                end.transport.abort()

    async def _pump(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK):
                if self._drops(is_answer):
                    pair.is_silenced = True
                if pair.is_silenced:
                    continue
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                writer.write(data)
                await writer.drain()
        except OSError:
            # the other side has reset; so is this one.
            writer.transport.abort()
        finally:
            if not pair.is_silenced:
                writer.close()

    def _drops(self, is_answer: bool) -> bool:
        return self.mode is RelayMode.SILENT or (
            self.mode is RelayMode.MUTE and is_answer
        )


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
            await relay.start(host, int(port))

    app.add_middleware(_Startup())
    serve(app, http, lifespan="on")
