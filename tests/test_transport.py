"""The transport's tasks and their end."""

import asyncio

import pynng

from snipedeal.clock import Clock
from snipedeal.transport import Handlers
from snipedeal.transport import Transport
from snipedeal_standins.ports import free_port


class CompletedReceive:
    """A socket whose receive completes at the moment in which it is cancelled.

    pynng then returns the message, and the cancellation is lost.
    """

    def __init__(self):
        self.is_lost = False

    async def arecv(self):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            if self.is_lost:
                raise
            self.is_lost = True
        return b"no frame"

    def recv(self, block):
        raise pynng.TryAgain("empty", 0)

    def close(self):
        pass


def test_close_ends_a_receive_that_completes_as_it_is_cancelled():
    async def scenario():
        address = f"tcp://127.0.0.1:{free_port()}"
        handlers = Handlers(lambda *_: None, lambda *_: None, lambda *_: None)
        transport = Transport("a", address, address, Clock(), handlers)
        transport.start()
        transport._receive_socket.close()
        transport._receive_socket = CompletedReceive()
        await asyncio.sleep(0.05)
        reader = transport._tasks[0]
        closing = asyncio.ensure_future(transport.close())
        done, _ = await asyncio.wait({closing}, timeout=10)
        reader.cancel()
        await closing
        return bool(done)

    assert asyncio.run(scenario())
