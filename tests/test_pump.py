"""Bodies that are handed on where they are received."""

import asyncio

import pytest

from snipedeal_direct.egress import BrokenAnswerError
from snipedeal_direct.egress import Connection

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Transport:
    """Notes what the connection asks of it."""

    def __init__(self):
        self.is_paused = False
        self.is_aborted = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        pass

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_aborted = True


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_connection():
    connection = Connection(("host", 1))
    connection.connection_made(Transport())
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    connection.data_received(HEAD)
    return connection


async def never():
    raise AssertionError("the sink took everything")


def test_bytes_come_in_order_and_the_end_is_noticed():
    async def work():
        connection = make_connection()
        connection.data_received(chunk(b"a"))
        taken = []
        task = asyncio.create_task(
            connection.pump(lambda data: taken.append(data) is None, never)
        )
        await asyncio.sleep(0)
        for part in (b"b", b"c"):
            connection.data_received(chunk(part))
            # at once, without a round of the loop.
            assert taken[-1] == part
        connection.data_received(b"0\r\n\r\n")
        await task
        assert taken == [b"a", b"b", b"c"]
        assert connection.finish()

    asyncio.run(work())


def test_slow_caller_pauses_the_target():
    async def work():
        connection = make_connection()
        is_drained = asyncio.Event()
        taken = []

        def sink(data):
            taken.append(data)
            return is_drained.is_set()

        task = asyncio.create_task(connection.pump(sink, is_drained.wait))
        await asyncio.sleep(0)
        connection.data_received(chunk(b"a"))
        assert connection._transport.is_paused
        await asyncio.sleep(0)
        assert not task.done()
        is_drained.set()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert not connection._transport.is_paused
        connection.data_received(chunk(b"b") + b"0\r\n\r\n")
        await task
        assert taken == [b"a", b"b"]

    asyncio.run(work())


def test_end_while_the_caller_is_slow_is_whole():
    async def work():
        connection = make_connection()
        taken = []
        is_drained = asyncio.Event()
        task = asyncio.create_task(
            connection.pump(lambda data: bool(taken.append(data)), is_drained.wait)
        )
        await asyncio.sleep(0)
        connection.data_received(chunk(b"a") + chunk(b"b") + b"0\r\n\r\n")
        is_drained.set()
        await task
        assert b"".join(taken) == b"ab"

    asyncio.run(work())


def test_answer_that_breaks_off_is_no_whole_one():
    async def work():
        connection = make_connection()
        task = asyncio.create_task(connection.pump(lambda data: True, never))
        await asyncio.sleep(0)
        connection.data_received(chunk(b"a"))
        connection.connection_lost(ConnectionResetError("reset"))
        with pytest.raises(BrokenAnswerError):
            await task

    asyncio.run(work())
