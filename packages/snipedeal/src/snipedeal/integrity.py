"""Tell whole responses from those that were cut or are no HTTP responses."""

import asyncio
import fcntl
import socket
import struct
import termios
import typing as t

#: State of a TCP connection that was reset (Linux, ``include/net/tcp_states.h``).
_TCP_CLOSE = 7


def is_final_status(status: int) -> bool:
    """Return whether a number is the status of a final response.

    RFC 9110, 15, has statuses from 100 to 599 and calls others invalid; those below
    200 are not final.
    """
    return 200 <= status <= 599


def find_end_fault(transport: asyncio.BaseTransport | None) -> str:
    """Return why the end of a connection is not the end of a body, empty if it is.

    A body without a length or chunks ends when the peer closes its direction. A reset
    is an error instead (RFC 9112, 8). If part of the request was not received either,
    the target has likely ended in the middle: the reset that its unread bytes cause
    can arrive after the end of the stream.

    :param transport: transport of the client's connection, before its socket closes.
    """
    sock: t.Any = transport.get_extra_info("socket") if transport else None
    if transport is None or sock is None or sock.fileno() < 0:
        return "connection lost"
    if _tcp_state(sock) == _TCP_CLOSE:
        return "connection reset"
    pending = t.cast(asyncio.WriteTransport, transport).get_write_buffer_size()
    if pending or _unacknowledged_bytes(sock):
        return "closed before it received the request"
    return ""


def _tcp_state(sock: t.Any) -> int:
    """Return the state of a TCP connection, -1 if the system does not tell it."""
    try:
        # The first byte of struct tcp_info.
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except (OSError, IndexError):
        return -1


def _unacknowledged_bytes(sock: t.Any) -> int:
    """Return the bytes that the kernel holds for the peer, 0 if it does not tell."""
    try:
        held = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return struct.unpack("i", held)[0]


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the close of a connection a reset, which no peer takes for an end of data.

    Bytes that were not sent yet are discarded.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
