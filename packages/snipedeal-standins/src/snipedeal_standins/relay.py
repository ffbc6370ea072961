"""A TCP proxy that can delay, reset, close or silence connections."""

import asyncio
import contextlib
import enum
import typing as t

import attrs
import falcon.asgi

from snipedeal_standins.serving import serve

_READ_SIZE_BYTES = 65_536


class RelayMode(enum.Enum):
    """How a proxy treats data and new connections.

    ``SILENT`` keeps connections open but drops their data in both directions;
    ``MUTE`` drops only data from the target. ``CUT`` closes open connections and
    resets new ones. A connection that lost data stays silent, as in a real network,
    because TCP never skips missing bytes.
    """

    PASS = "pass"
    SILENT = "silent"
    MUTE = "mute"
    CUT = "cut"


@attrs.define(eq=False)
class _ConnectionPair:
    """The client and target connections of one proxied connection."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silenced: bool = False


class Relay:
    """Forward TCP connections to a target, with fault injection.

    :param target: ``host:port`` that connections are forwarded to.
    """

    def __init__(self, target: str) -> None:
        self.mode = RelayMode.PASS
        self.delay_ms = 0.0
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._listen_port = 0
        self._pairs: set[_ConnectionPair] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()

    @property
    def address(self) -> str:
        """``host:port`` that the proxy listens on, also while it is closed."""
        return f"127.0.0.1:{self._listen_port}"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening; port 0 picks a free one, the one before after a close."""
        port = port or self._listen_port
        self._server = await asyncio.start_server(self._accept, host, port)
        self._listen_port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and reset open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_mode(self, mode: RelayMode) -> None:
        """Set the mode; ``CUT`` also closes the open connections."""
        self.mode = mode
        if mode is RelayMode.CUT:
            for pair in self._pairs:
                for writer in pair.writers:
                    writer.close()

    def silence_open(self) -> None:
        """Silence the open connections; new ones are forwarded."""
        for pair in self._pairs:
            pair.is_silenced = True

    def reset(self) -> None:
        """Reset the open connections; new ones are forwarded."""
        for pair in list(self._pairs):
            for writer in pair.writers:
                writer.transport.abort()

    async def on_post(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Set the mode, or silence open connections for ``silence_open``."""
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
            target_reader, target_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _ConnectionPair((writer, target_writer))
        self._pairs.add(pair)
        # close() cancels this task, and asyncio would log the cancellation as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(pair, reader, target_reader)

    async def _forward(
        self,
        pair: _ConnectionPair,
        reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
    ) -> None:
        writer, target_writer = pair.writers
        try:
            await asyncio.gather(
                self._pump(pair, reader, target_writer, is_from_target=False),
                self._pump(pair, target_reader, writer, is_from_target=True),
            )
        finally:
            self._pairs.discard(pair)
            for end in pair.writers:
                end.transport.abort()

    async def _pump(
        self,
        pair: _ConnectionPair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_from_target: bool,
    ) -> None:
        try:
            while data := await reader.read(_READ_SIZE_BYTES):
                if self._is_dropped(is_from_target):
                    pair.is_silenced = True
                if pair.is_silenced:
                    continue
                if self.delay_ms:
                    await asyncio.sleep(self.delay_ms / 1000)
                writer.write(data)
                await writer.drain()
        except OSError:
            # One connection of the pair failed; reset the other one as well.
            writer.transport.abort()
        finally:
            if not pair.is_silenced:
                writer.close()

    def _is_dropped(self, is_from_target: bool) -> bool:
        return self.mode is RelayMode.SILENT or (
            self.mode is RelayMode.MUTE and is_from_target
        )


def run(*, listen: str, target: str, http: str) -> None:
    """Run a TCP proxy with fault injection.

    :param listen: host:port to accept connections on.
    :param target: host:port to forward them to.
    :param http: host:port of the control API; POST /control sets the mode.
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
