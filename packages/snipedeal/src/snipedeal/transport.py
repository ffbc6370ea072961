"""Carry messages between processes over ``pynng`` sockets.

Each process listens on one polyamorous Pair1 socket, used only for receiving,
and dials one Pair1 socket per peer, used only for sending. Messages queued within
one flush interval share a frame. :mod:`snipedeal.link` implements acknowledgement,
retransmission, ordering and the detection of lost peers.
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
_CONTROL_OVERHEAD_CODE = "frame"
_DATA_OVERHEAD_CODE = "data_frame"


@attrs.define
class Traffic:
    """Bytes sent and received, by message code.

    :param sent: bytes sent by code; ``data_frame`` counts the framing overhead of
        frames that carry requests or responses, ``frame`` that of all others.
    :param received: bytes received, by the same codes.
    """

    sent: dict[str, int] = attrs.Factory(dict)
    received: dict[str, int] = attrs.Factory(dict)

    def control_sent(self) -> int:
        """Return the bytes sent as control traffic: no requests or responses."""
        return _control_bytes(self.sent)

    def control_received(self) -> int:
        """Return the bytes received as control traffic: no requests or responses."""
        return _control_bytes(self.received)


@attrs.define
class Handlers:
    """Callbacks of a transport.

    :param on_message: called with the peer's name and a message.
    :param on_reset: called with the peer's name when the peer started a new
        session and lost the state of the earlier one.
    :param on_lost: called with the peer's name when the peer acknowledges nothing
        for :data:`~snipedeal.defaults.PEER_LOST_AFTER_MS`.
    """

    on_message: t.Callable[[str, t.Any], None]
    on_reset: t.Callable[[str], None]
    on_lost: t.Callable[[str], None]


@attrs.define(eq=False)
class _Peer:
    """A link and the socket on which its frames are sent."""

    name: str
    address: str
    link: Link
    socket: pynng.Pair1 | None = None


class Transport:
    """Manage the sockets and links of a process.

    :param name: name of this process, known to peers.
    :param listen: address to listen on, such as ``tcp://127.0.0.1:7001``.
    :param advertise: address at which peers reach this process.
    :param clock: source of time.
    :param handlers: callbacks for messages and changes of peers.
    :param flush_interval_ms: longest time that a message is queued to share a
        frame with later ones.
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
        self._hybrid_clock = HybridClock(clock)
        self._peers: dict[str, _Peer] = {}
        self._peers_to_flush: set[str] = set()
        self._flush_handle: asyncio.TimerHandle | None = None
        self._receive_socket: pynng.Pair1 | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._traffic = Traffic()
        self._is_closed = False

    @property
    def traffic(self) -> Traffic:
        """Bytes sent and received so far."""
        return self._traffic

    @property
    def hybrid_clock(self) -> HybridClock:
        """Hybrid logical clock, which orders events across processes."""
        return self._hybrid_clock

    @property
    def peers(self) -> list[str]:
        """Names of the peers that have a link."""
        return list(self._peers)

    def start(self) -> None:
        """Listen, and start the receive and timer tasks."""
        self._receive_socket = pynng.Pair1(
            polyamorous=True, recv_buffer_size=defaults.SOCKET_BUFFER_MESSAGES
        )
        self._receive_socket.listen(self._listen)
        self._tasks = [
            asyncio.create_task(self._receive_loop(), name="transport-read"),
            asyncio.create_task(self._run_ticks(), name="transport-ticks"),
        ]

    async def close(self) -> None:
        """Flush queued messages, then cancel the tasks and close the sockets."""
        self._flush()
        await asyncio.sleep(self._flush_interval_s * 4)
        self._is_closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peer in self._peers.values():
            _close_socket(peer)
        if self._receive_socket is not None:
            self._receive_socket.close()

    def connect(self, name: str, address: str) -> None:
        """Create a link to a peer, or update the peer's address.

        A link that the peer may already have expired is replaced by a new one.

        :param name: the peer's name.
        :param address: address that the peer advertises.
        """
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = self._make_peer(name, address)
        elif peer.address != address:
            peer.address = address
            _close_socket(peer)
        elif self._may_have_expired_at_peer(peer):
            self.remove_peer(name)
            self._peers[name] = self._make_peer(name, address)

    def is_lost(self, name: str) -> bool:
        """Whether a peer was declared lost."""
        peer = self._peers.get(name)
        return peer is not None and peer.link.is_lost

    def set_heartbeats(self, name: str, is_enabled: bool) -> None:
        """Enable or disable heartbeats; enable them while work depends on a peer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.link.is_heartbeat_enabled = is_enabled

    def send(self, name: str, message: t.Any) -> bool:
        """Queue a message for a peer.

        :param name: the peer's name; :meth:`connect` must have been called for it.
        :param message: an instance of a registered message class.
        :return: whether the message was queued; ``False`` if the peer has no link
            or the transport is closed.
        """
        peer = self._peers.get(name)
        if peer is None or self._is_closed:
            return False
        peer.link.push(encode_message(message))
        self._schedule_flush(name)
        return True

    async def wait_acknowledged(self, timeout_s: float) -> bool:
        """Wait until all messages are acknowledged; return whether they are.

        :param timeout_s: longest time to wait, in seconds.
        """
        deadline = self._clock.now_ms() + timeout_s * 1000
        while any(not p.link.is_fully_acknowledged for p in self._peers.values()):
            if self._clock.now_ms() >= deadline:
                return False
            await asyncio.sleep(self._flush_interval_s)
        return True

    def remove_peer(self, name: str) -> None:
        """Remove a peer, its link and its socket."""
        peer = self._peers.pop(name, None)
        if peer is not None:
            _close_socket(peer)

    def _may_have_expired_at_peer(self, peer: _Peer) -> bool:
        """Whether the peer may have expired this link's session, or is about to.

        Messages sent in an expired session would be lost, so the link is replaced
        after half of the expiry time.
        """
        limit_ms = defaults.LINK_EXPIRY_MS // 2
        return self._is_idle(peer, self._clock.now_ms(), limit_ms)

    def _make_peer(self, name: str, address: str) -> _Peer:
        link = Link(self._clock.wall_ms(), self._clock.now_ms())
        return _Peer(name, address, link)

    def _schedule_flush(self, name: str) -> None:
        self._peers_to_flush.add(name)
        if self._flush_handle is None:
            loop = asyncio.get_running_loop()
            self._flush_handle = loop.call_later(self._flush_interval_s, self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        names = self._peers_to_flush
        self._peers_to_flush = set()
        for name in names:
            peer = self._peers.get(name)
            if peer is not None:
                self._send_next_frame(peer)

    def _send_next_frame(self, peer: _Peer) -> None:
        sequence, body = peer.link.next_frame(self._clock.now_ms())
        self._transmit(peer, sequence, body)

    def _transmit(
        self, peer: _Peer, sequence: int, body: list, is_retransmission: bool = False
    ) -> None:
        wall_ms, counter = self._hybrid_clock.tick()
        frame = Frame(
            self._name,
            peer.name,
            self._advertise if is_retransmission or not peer.link.peer_session else "",
            peer.link.session,
            peer.link.peer_session,
            sequence,
            peer.link.ack_sequence(),
            wall_ms,
            counter,
            body,
        )
        data = encode_frame(frame)
        if peer.socket is None:
            peer.socket = _dial(peer.address)
        if peer.socket is None:
            return
        try:
            peer.socket.send(data, block=False)
        except (pynng.TryAgain, pynng.Closed):
            # The link retransmits the frame if no acknowledgement arrives.
            return
        _add_bytes(self._traffic.sent, body, len(data))

    async def _receive_loop(self) -> None:
        # pynng drops the cancellation of a receive that completes at that moment.
        while not self._is_closed:
            data = await self._receive_socket.arecv()
            self._process_safely(data)
            if self._receive_queued():
                # More than one frame was queued: pause, so that the next ones
                # are received together.
                await asyncio.sleep(defaults.RECEIVE_PAUSE_MS / 1000)

    def _receive_queued(self) -> int:
        """Process all queued frames, which is cheaper than one wake-up for each.

        :return: number of frames processed.
        """
        for count in range(defaults.SOCKET_BUFFER_MESSAGES):
            try:
                data = self._receive_socket.recv(block=False)
            except pynng.TryAgain:
                return count
            self._process_safely(data)
        return defaults.SOCKET_BUFFER_MESSAGES

    def _process_safely(self, data: bytes) -> None:
        try:
            self._process_frame(data)
        # A frame that can't be processed must not end the receive task.
        except Exception:
            logging.exception("failed to process a frame of %d bytes", len(data))

    def _process_frame(self, data: bytes) -> None:
        try:
            frame = decode_frame(data)
        except MessageError as error:
            logging.warning("discarded undecodable frame: %s", error)
            return
        _add_bytes(self._traffic.received, frame.body, len(data))
        if frame.recipient != self._name:
            return
        if not self._hybrid_clock.observe(frame.wall_ms, frame.counter):
            logging.warning("ignored the time %d of %s", frame.wall_ms, frame.sender)
        if frame.address:
            self.connect(frame.sender, frame.address)
        peer = self._peers.get(frame.sender)
        if peer is None:
            # This process has removed the peer. The peer sends its address
            # again when it retransmits the unacknowledged frame.
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
                logging.warning(
                    "ignored message %s from %s: unknown code of a newer version",
                    code,
                    name,
                )
            elif not isinstance(message, Heartbeat):
                self._handlers.on_message(name, message)
        except MessageError as error:
            logging.warning("discarded invalid message from %s: %s", name, error)
        # A failing handler must not end the receive task.
        except Exception:
            logging.exception("failed to process message %s from %s", code, name)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(_TICK_MS / 1000)
            for peer in list(self._peers.values()):
                try:
                    self._tick(peer)
                # What one peer causes must not end the task of all.
                except Exception:
                    logging.exception("failed to serve the link to %s", peer.name)

    def _tick(self, peer: _Peer) -> None:
        now_ms = self._clock.now_ms()
        if peer.link.is_heartbeat_due(now_ms):
            peer.link.push(encode_message(Heartbeat()))
        action = peer.link.tick(now_ms)
        if action is LinkAction.LOST:
            logging.warning(
                "peer %s declared lost: no acknowledgement in time", peer.name
            )
            peer.link.mark_lost(self._clock.wall_ms(), now_ms)
            _close_socket(peer)
            self._handlers.on_lost(peer.name)
        elif action is LinkAction.REDIAL:
            logging.info(
                "reconnecting to peer %s: no acknowledgement in time", peer.name
            )
            _close_socket(peer)
            self._send_due_frames(peer, now_ms)
        elif action is LinkAction.SEND:
            self._send_due_frames(peer, now_ms)
        elif self._is_idle(peer, now_ms, defaults.LINK_EXPIRY_MS):
            self.remove_peer(peer.name)
        elif self._is_idle(peer, now_ms, defaults.LINK_IDLE_CLOSE_MS):
            _close_socket(peer)

    def _send_due_frames(self, peer: _Peer, now_ms: int) -> None:
        for sequence, body in peer.link.due_retransmissions(now_ms):
            self._transmit(peer, sequence, body, is_retransmission=True)
        self._send_next_frame(peer)

    def _is_idle(self, peer: _Peer, now_ms: int, limit_ms: int) -> bool:
        if peer.link.is_heartbeat_enabled or not peer.link.is_idle:
            return False
        return now_ms - peer.link.last_activity_ms >= limit_ms


def _dial(address: str) -> pynng.Pair1 | None:
    """Return a socket that connects to a peer, ``None`` if it has no usable address."""
    socket = pynng.Pair1(send_buffer_size=defaults.SOCKET_BUFFER_MESSAGES)
    socket.reconnect_time_min = 100
    socket.reconnect_time_max = 1_000
    try:
        socket.dial(address, block=False)
    except (pynng.NNGException, ValueError) as error:
        logging.warning("can't connect to %r: %s", address[:80], error)
        socket.close()
        return None
    return socket


def _close_socket(peer: _Peer) -> None:
    if peer.socket is not None:
        peer.socket.close()
        peer.socket = None


def _add_bytes(totals: dict[str, int], body: list, size: int) -> None:
    overhead = size
    for code, payload in body:
        length = len(code) + len(bytes(payload))
        totals[code] = totals.get(code, 0) + length
        overhead -= length
    has_data = any(code in DATA_CODES for code, _ in body)
    name = _DATA_OVERHEAD_CODE if has_data else _CONTROL_OVERHEAD_CODE
    totals[name] = totals.get(name, 0) + overhead


def _control_bytes(totals: dict[str, int]) -> int:
    data = DATA_CODES | {_DATA_OVERHEAD_CODE}
    return sum(size for code, size in totals.items() if code not in data)
