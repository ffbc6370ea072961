"""Implement the reliable link protocol between two processes, without I/O.

Within a pair of sessions, a link delivers messages in order and only once.
Each side numbers its frames and keeps them until the peer acknowledges them.
Unacknowledged frames are retransmitted, then the transport is asked to reconnect,
and finally the peer is declared lost. A side that loses its state starts a new
session, and the session number in each frame lets the peer detect that.
"""

import collections
import enum
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.codec import Frame


class LinkAction(enum.Enum):
    """Action that the transport must take after :meth:`Link.tick`."""

    SEND = "send"
    REDIAL = "redial"
    LOST = "lost"


@attrs.define
class _UnackedFrame:
    """A transmitted frame that the peer has not acknowledged yet."""

    sequence: int
    body: list[tuple[str, t.Any]]
    sent_ms: int
    first_sent_ms: int


@attrs.define
class ReceiveResult:
    """Result of processing a received frame.

    :param body: messages to deliver now, in order.
    :param is_reset: the peer started a new session and lost the earlier state.
    """

    body: list[tuple[str, t.Any]] = attrs.Factory(list)
    is_reset: bool = False


@attrs.define
class Link:
    """State of the local side of a link.

    :param session: number of the local session; it increases with each restart.
    :param created_ms: monotonic time of creation, in milliseconds.
    :param peer_session: number of the peer's session, 0 while unknown.
    :param is_heartbeat_enabled: whether to send heartbeats while the link is
        otherwise silent.
    """

    session: int
    created_ms: int
    peer_session: int = 0
    is_heartbeat_enabled: bool = False
    _send_queue: list[tuple[str, t.Any]] = attrs.Factory(list)
    _unacked: collections.deque[_UnackedFrame] = attrs.Factory(collections.deque)
    _next_sequence: int = 1
    _last_received_sequence: int = 0
    _newest_peer_session: int = 0
    _ack_pending_since_ms: int | None = None
    _is_lost: bool = False
    _last_received_ms: int = 0
    _last_sent_ms: int = 0
    _last_redial_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self._last_received_ms = self.created_ms
        self._last_sent_ms = self.created_ms

    @property
    def is_lost(self) -> bool:
        """Whether the peer was declared lost and no frame has arrived since."""
        return self._is_lost

    @property
    def is_idle(self) -> bool:
        """Whether no message, retransmission or acknowledgement is outstanding."""
        return not (
            self._send_queue or self._unacked or self._ack_pending_since_ms is not None
        )

    @property
    def is_fully_acknowledged(self) -> bool:
        """Whether the peer has acknowledged every queued message."""
        return not (self._send_queue or self._unacked)

    @property
    def last_activity_ms(self) -> int:
        """Monotonic time of the last frame sent or received, in milliseconds."""
        return max(self._last_received_ms, self._last_sent_ms)

    @property
    def has_outgoing(self) -> bool:
        """Whether messages are queued for their first transmission."""
        return bool(self._send_queue)

    def push(self, item: tuple[str, t.Any]) -> None:
        """Queue a message for the next frame.

        :param item: message code and encoded payload.
        """
        self._send_queue.append(item)

    def next_frame(self, now_ms: int) -> tuple[int, list[tuple[str, t.Any]]]:
        """Return the sequence number and messages of the next new frame.

        Sequence number 0 marks a frame that carries only an acknowledgement.

        :param now_ms: monotonic time.
        """
        self._ack_pending_since_ms = None
        self._last_sent_ms = now_ms
        if not self._send_queue:
            return 0, []
        body = self._send_queue
        self._send_queue = []
        sequence = self._next_sequence
        self._next_sequence += 1
        self._unacked.append(_UnackedFrame(sequence, body, now_ms, now_ms))
        return sequence, body

    def ack_sequence(self) -> int:
        """Return the cumulative acknowledgement to send to the peer."""
        return self._last_received_sequence

    def due_retransmissions(
        self, now_ms: int
    ) -> list[tuple[int, list[tuple[str, t.Any]]]]:
        """Return the frames to retransmit now, oldest first.

        Once the oldest frame is due, all unacknowledged frames are returned and
        their retransmission timers restart.

        :param now_ms: monotonic time.
        """
        if not self._unacked:
            return []
        if now_ms - self._unacked[0].sent_ms < defaults.RETRANSMIT_AFTER_MS:
            return []
        for pending in self._unacked:
            pending.sent_ms = now_ms
        return [(pending.sequence, pending.body) for pending in self._unacked]

    def receive(self, frame: Frame, now_ms: int) -> ReceiveResult:
        """Process a frame from the peer.

        Frames of an earlier peer session are discarded. Duplicate and out-of-order
        frames are not delivered but trigger an acknowledgement.

        :param frame: the frame, addressed to this process.
        :param now_ms: monotonic time.
        """
        result = ReceiveResult()
        if frame.session < self._newest_peer_session:
            return result
        self._last_received_ms = now_ms
        self._is_lost = False
        is_for_this_session = frame.peer_session in (0, self.session)
        if frame.session > self.peer_session:
            result.is_reset = self._accept_peer_session(
                frame, is_for_this_session, now_ms
            )
        if not is_for_this_session:
            # The frame is addressed to an earlier local session. An immediate
            # acknowledgement tells the peer the current session number.
            self._ack_pending_since_ms = now_ms - defaults.ACK_DELAY_MS
            return result
        if frame.peer_session == self.session:
            self._drop_acknowledged(frame.ack)
        if frame.sequence:
            if self._ack_pending_since_ms is None:
                self._ack_pending_since_ms = now_ms
            if frame.sequence == self._last_received_sequence + 1:
                self._last_received_sequence = frame.sequence
                result.body = frame.body
        return result

    def tick(self, now_ms: int) -> LinkAction | None:
        """Return the action that is due now, at most one per call.

        :param now_ms: monotonic time.
        """
        unacked_ms = self._unacked_age_ms(now_ms)
        if not self._is_lost and unacked_ms >= defaults.PEER_LOST_AFTER_MS:
            return LinkAction.LOST
        if unacked_ms >= defaults.REDIAL_AFTER_MS and self._may_redial(now_ms):
            self._last_redial_ms = now_ms
            return LinkAction.REDIAL
        is_due = self._is_ack_due(now_ms) or self._is_retransmission_due(now_ms)
        if is_due or self._send_queue:
            return LinkAction.SEND
        return None

    def is_heartbeat_due(self, now_ms: int) -> bool:
        """Whether the heartbeat interval has passed since the last frame sent.

        Messages in the queue or awaiting acknowledgement replace heartbeats.

        :param now_ms: monotonic time.
        """
        if not self.is_heartbeat_enabled or self._unacked or self._send_queue:
            return False
        return now_ms - self._last_sent_ms >= defaults.HEARTBEAT_INTERVAL_MS

    def mark_lost(self, session: int, now_ms: int) -> None:
        """Declare the peer lost and discard all undelivered messages.

        The sequence number last received is kept, so that frames of a peer that
        continues its session are not delivered twice.

        :param session: proposed number of the new local session; the current
            number plus one is used instead if that is larger.
        :param now_ms: monotonic time.
        """
        self._start_session(session, now_ms)
        self._is_lost = True

    def _start_session(self, session: int, now_ms: int) -> None:
        """Start a new local session and discard undelivered messages."""
        self.session = max(session, self.session + 1)
        self._send_queue.clear()
        self._unacked.clear()
        self._next_sequence = 1
        self._ack_pending_since_ms = now_ms - defaults.ACK_DELAY_MS
        self._last_received_ms = now_ms

    def _accept_peer_session(
        self, frame: Frame, is_for_this_session: bool, now_ms: int
    ) -> bool:
        """Accept the peer's new session; return whether it replaces an earlier one."""
        replaces_session = self.peer_session != 0
        self._newest_peer_session = frame.session
        if replaces_session and frame.peer_session == 0:
            # The peer is a new process that does not know the local sequence numbers.
            self._start_session(self.session + 1, now_ms)
        self._last_received_sequence = 0
        # A frame addressed to an earlier process of this name may have a high
        # sequence number. The frames before it can no longer be received, so the
        # peer's session stays unknown.
        self.peer_session = (
            frame.session if is_for_this_session or replaces_session else 0
        )
        return replaces_session

    def _drop_acknowledged(self, ack: int) -> None:
        has_advanced = False
        while self._unacked and self._unacked[0].sequence <= ack:
            self._unacked.popleft()
            has_advanced = True
        # Only an acknowledgement of new frames restarts the timer. A peer whose
        # frames arrive but which acknowledges nothing is not being reached: the
        # outgoing connection has failed silently.
        if has_advanced and self._unacked:
            oldest = self._unacked[0]
            oldest.first_sent_ms = max(oldest.first_sent_ms, self._last_received_ms)

    def _unacked_age_ms(self, now_ms: int) -> int:
        """Return the age of the oldest unacknowledged frame, 0 if there is none."""
        if not self._unacked:
            return 0
        return now_ms - self._unacked[0].first_sent_ms

    def _may_redial(self, now_ms: int) -> bool:
        return now_ms - self._last_redial_ms >= defaults.REDIAL_AFTER_MS

    def _is_ack_due(self, now_ms: int) -> bool:
        """Whether a delayed acknowledgement must be sent without a message."""
        since_ms = self._ack_pending_since_ms
        return since_ms is not None and now_ms - since_ms >= defaults.ACK_DELAY_MS

    def _is_retransmission_due(self, now_ms: int) -> bool:
        if not self._unacked:
            return False
        return now_ms - self._unacked[0].sent_ms >= defaults.RETRANSMIT_AFTER_MS
