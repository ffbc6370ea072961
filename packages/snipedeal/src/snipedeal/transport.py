"""Carry messages between processes over ``pynng`` sockets.

Every process listens on one polyamorous pair socket, which it only reads, and
dials one pair socket to each peer, which it only writes. Messages of one flush
interval share a frame. Delivery, order and loss are the business of
:mod:`snipedeal.link`.
"""

import asyncio
import typing as t

import attrs
import pynng
from absl import logging

from snipedeal import defaults
from snipedeal.clock import Clock
from snipedeal.clock import HybridClock
from snipedeal.codec import Frame
from snipedeal.codec import decode_frame
from snipedeal.codec import decode_message
from snipedeal.codec import encode_frame
from snipedeal.codec import encode_message
from snipedeal.exceptions import MessageError
from snipedeal.link import Link
from snipedeal.link import LinkAction
from snipedeal.messages import DATA_CODES
from snipedeal.messages import Heartbeat

_TICK_MS = 100
_FRAME_CODE = "frame"
_DATA_FRAME_CODE = "data_frame"


@attrs.define
class Traffic:
    """Bytes through the sockets by message code.

    :param sent: bytes sent by code; ``data_frame`` holds the headers of
        frames that carry requests or answers, ``frame`` those of the others.
    :param received: bytes received by code.
    """

    sent: dict[str, int] = attrs.Factory(dict)
    received: dict[str, int] = attrs.Factory(dict)

    def control_sent(self) -> int:
        """Return the bytes sent that carry no request or answer."""
        return _sum_control(self.sent)

    def control_received(self) -> int:
        """Return the bytes received that carry no request or answer."""
        return _sum_control(self.received)


@attrs.define
class Handlers:
    """Functions that a transport calls.

    :param on_message: called with the peer's name and a message.
    :param on_reset: called with a peer's name when it lost its state.
    :param on_lost: called with a peer's name when it stays silent.
    """

    on_message: t.Callable[[str, t.Any], None]
    on_reset: t.Callable[[str], None]
    on_lost: t.Callable[[str], None]


@attrs.define(eq=False)
class _Peer:
    """A link and the socket that carries its outgoing side."""

    name: str
    address: str
    link: Link
    socket: pynng.Pair1 | None = None


class Transport:
    """Own the sockets and links of a process.

    :param name: name of this process, known to peers.
    :param listen: address to listen on, such as ``tcp://127.0.0.1:7001``.
    :param advertise: address at which peers reach it.
    :param clock: source of time.
    """

    def __init__(
        self,
        name: str,
        listen: str,
        advertise: str,
        clock: Clock,
        handlers: Handlers,
        flush_interval_ms: int = defaults.FLUSH_INTERVAL_MS,
    ) -> None:
        self._name = name
        self._listen = listen
        self._advertise = advertise
        self._clock = clock
        self._handlers = handlers
        self._flush_interval_s = flush_interval_ms / 1000
        self._hybrid = HybridClock(clock)
        self._peers: dict[str, _Peer] = {}
        self._dirty: set[str] = set()
        self._flush_handle: asyncio.TimerHandle | None = None
        self._inbox: pynng.Pair1 | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._traffic = Traffic()
        self._is_closed = False

    @property
    def traffic(self) -> Traffic:
        """Bytes sent and received so far."""
        return self._traffic

    @property
    def hybrid_clock(self) -> HybridClock:
        """The clock that orders events over processes."""
        return self._hybrid

    @property
    def peers(self) -> list[str]:
        """Names of the peers that have a link."""
        return list(self._peers)

    def start(self) -> None:
        """Listen, and start the reading and timing tasks."""
        self._inbox = pynng.Pair1(
            polyamorous=True, recv_buffer_size=defaults.SOCKET_BUFFER_MESSAGES
        )
        self._inbox.listen(self._listen)
        self._tasks = [
            asyncio.create_task(self._read(), name="transport-read"),
            asyncio.create_task(self._run_ticks(), name="transport-ticks"),
        ]

    async def close(self) -> None:
        """Send what is queued, then release sockets and tasks."""
        self._flush()
        await asyncio.sleep(self._flush_interval_s * 4)
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer in self._peers.values():
            _close_socket(peer)
        if self._inbox is not None:
            self._inbox.close()

    def connect(self, name: str, address: str) -> None:
        """Make a link to a peer, or move it to a new address.

        :param name: the peer's name.
        :param address: where it listens.
        """
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = self._make_peer(name, address)
        elif peer.address != address:
            peer.address = address
            _close_socket(peer)
        elif self._may_be_forgotten(peer):
            self.drop(name)
            self._peers[name] = self._make_peer(name, address)

    def is_lost(self, name: str) -> bool:
        """Whether a peer was declared lost."""
        peer = self._peers.get(name)
        return peer is not None and peer.link.is_lost

    def watch(self, name: str, is_watched: bool) -> None:
        """Say whether work depends on a peer, so that heartbeats are needed."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.is_watched = is_watched

    def send(self, name: str, message: t.Any) -> bool:
        """Queue a message for a peer.

        :param name: the peer's name; it must be connected.
        :param message: an instance of a registered message class.
        :return: whether the peer is known.
        """
        peer = self._peers.get(name)
        if peer is None or self._is_closed:
            return False
        peer.link.push(encode_message(message))
        self._mark_dirty(name)
        return True

    async def wait_acknowledged(self, limit_s: float) -> bool:
        """Wait until peers have everything; return whether they do.

        :param limit_s: seconds after which to give up on silent peers.
        """
        deadline = self._clock.now_ms() + limit_s * 1000
        while any(not p.link.is_delivered for p in self._peers.values()):
            if self._clock.now_ms() >= deadline:
                return False
            await asyncio.sleep(self._flush_interval_s)
        return True

    def drop(self, name: str) -> None:
        """Forget a peer and its link."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            _close_socket(peer)

    def _may_be_forgotten(self, peer: _Peer) -> bool:
        """Whether the peer may soon forget the link's session.

        A new session is started in time, since what is sent in a forgotten
        one would be lost.
        """
        limit_ms = defaults.LINK_FORGET_MS // 2
        return self._is_idle(peer, self._clock.now_ms(), limit_ms)

    def _make_peer(self, name: str, address: str) -> _Peer:
        link = Link(self._clock.wall_ms(), self._clock.now_ms())
        return _Peer(name, address, link)

    def _mark_dirty(self, name: str) -> None:
        self._dirty.add(name)
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(self._flush_interval_s, self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        names = self._dirty
        self._dirty = set()
        for name in names:
            peer = self._peers.get(name)
            if peer is not None:
                self._send_new(peer)

    def _send_new(self, peer: _Peer) -> None:
        sequence, body = peer.link.take_body(self._clock.now_ms())
        self._transmit(peer, sequence, body)

    def _transmit(
        self, peer: _Peer, sequence: int, body: list, is_repeat: bool = False
    ) -> None:
        wall_ms, counter = self._hybrid.tick()
        frame = Frame(
            self._name,
            peer.name,
            self._advertise if is_repeat or not peer.link.peer_session else "",
            peer.link.session,
            peer.link.peer_session,
            sequence,
            peer.link.acknowledged(),
            wall_ms,
            counter,
            body,
        )
        data = encode_frame(frame)
        if peer.socket is None:
            peer.socket = _dial(peer.address)
        try:
            peer.socket.send(data, block=False)
        except (pynng.TryAgain, pynng.Closed):
            # the link repeats the frame when its acknowledgement stays out.
            return
        _count(self._traffic.sent, body, len(data))

    async def _read(self) -> None:
        while True:
            data = await self._inbox.arecv()
            self._take_frame(data)
            if self._drain():
                # more than one frame waited: let the next ones gather.
                await asyncio.sleep(defaults.RECEIVE_PAUSE_MS / 1000)

    def _drain(self) -> int:
        """Take everything that waits, which is cheaper than one wake-up each.

        :return: how many frames waited.
        """
        for count in range(defaults.SOCKET_BUFFER_MESSAGES):
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return count
            self._take_frame(data)
        return defaults.SOCKET_BUFFER_MESSAGES

    def _take_frame(self, data: bytes) -> None:
        try:
            frame = decode_frame(data)
        except MessageError as error:
            logging.warning("frame refused: %s", error)
            return
        _count(self._traffic.received, frame.body, len(data))
        if frame.recipient != self._name:
            return
        self._hybrid.observe(frame.wall_ms, frame.counter)
        if frame.address:
            self.connect(frame.sender, frame.address)
        peer = self._peers.get(frame.sender)
        if peer is None:
            # this process forgot the peer, which will say its address again
            # once it notices that nothing is acknowledged.
            return
        received = peer.link.receive(frame, self._clock.now_ms())
        if received.is_reset:
            self._handlers.on_reset(peer.name)
        for code, payload in received.body:
            self._deliver(peer.name, code, payload)

    def _deliver(self, name: str, code: str, payload: t.Any) -> None:
        try:
            message = decode_message(code, payload)
            if message is None:
                logging.warning("message %s from %s is of a newer version", code, name)
            elif not isinstance(message, Heartbeat):
                self._handlers.on_message(name, message)
        except MessageError as error:
            logging.warning("message refused from %s: %s", name, error)
        except Exception:  # one bad message must not end the reading task.
            logging.exception("message %s from %s failed", code, name)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            for peer in list(self._peers.values()):
                self._tick(peer)

    def _tick(self, peer: _Peer) -> None:
        now_ms = self._clock.now_ms()
        if peer.link.is_heartbeat_due(now_ms):
            peer.link.push(encode_message(Heartbeat()))
        action = peer.link.tick(now_ms)
        if action is LinkAction.LOST:
            logging.warning("peer %s is lost", peer.name)
            peer.link.mark_lost(self._clock.wall_ms(), now_ms)
            _close_socket(peer)
            self._handlers.on_lost(peer.name)
        elif action is LinkAction.REDIAL:
            logging.info("link to %s is dialled again", peer.name)
            _close_socket(peer)
            self._send_due(peer, now_ms)
        elif action is LinkAction.SEND:
            self._send_due(peer, now_ms)
        elif self._is_idle(peer, now_ms, defaults.LINK_FORGET_MS):
            self.drop(peer.name)
        elif self._is_idle(peer, now_ms, defaults.LINK_IDLE_CLOSE_MS):
            _close_socket(peer)

    def _send_due(self, peer: _Peer, now_ms: int) -> None:
        for sequence, body in peer.link.due_again(now_ms):
            self._transmit(peer, sequence, body, is_repeat=True)
        self._send_new(peer)

    def _is_idle(self, peer: _Peer, now_ms: int, limit_ms: int) -> bool:
        if peer.link.is_watched or not peer.link.is_quiet:
            return False
        return now_ms - peer.link.last_used_ms >= limit_ms


def _dial(address: str) -> pynng.Pair1:
    socket = pynng.Pair1(send_buffer_size=defaults.SOCKET_BUFFER_MESSAGES)
    socket.reconnect_time_min = 100
    socket.reconnect_time_max = 1_000
    socket.dial(address, block=False)
    return socket


def _close_socket(peer: _Peer) -> None:
    if peer.socket is not None:
        peer.socket.close()
        peer.socket = None


def _count(totals: dict[str, int], body: list, size: int) -> None:
    rest = size
    for code, payload in body:
        length = len(code) + len(bytes(payload))
        totals[code] = totals.get(code, 0) + length
        rest -= length
    has_data = any(code in DATA_CODES for code, _ in body)
    name = _DATA_FRAME_CODE if has_data else _FRAME_CODE
    totals[name] = totals.get(name, 0) + rest


def _sum_control(totals: dict[str, int]) -> int:
    data = DATA_CODES | {_DATA_FRAME_CODE}
    return sum(size for code, size in totals.items() if code not in data)
