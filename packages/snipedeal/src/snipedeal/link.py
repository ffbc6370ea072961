"""The state of one link between two processes, without any input or output.

A link delivers messages once and in order between two sessions. Each side
numbers its frames, keeps them until the other acknowledges them, repeats them
when acknowledgements stay out, asks for a new connection when that does not
help, and at last declares the peer lost. A side that forgets its state starts
a new session; the other is told, so that it never mistakes the two.
"""

import collections
import enum
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.codec import Frame


class LinkAction(enum.Enum):
    """What the owner of a link is to do after a tick."""

    SEND = "send"
    REDIAL = "redial"
    LOST = "lost"


@attrs.define
class _Pending:
    """A frame body that waits for its acknowledgement."""

    sequence: int
    body: list[tuple[str, t.Any]]
    sent_ms: int
    first_sent_ms: int


@attrs.define
class Received:
    """What came of a frame.

    :param body: messages to deliver now, in order.
    :param is_reset: the peer lost the state of the earlier session.
    """

    body: list[tuple[str, t.Any]] = attrs.Factory(list)
    is_reset: bool = False


@attrs.define
class Link:
    """State of this side of a link.

    :param session: number of this side's session; grows over restarts.
    :param now_ms: monotonic time of creation.
    """

    session: int
    now_ms: int
    peer_session: int = 0
    is_watched: bool = False
    _outbox: list[tuple[str, t.Any]] = attrs.Factory(list)
    _pending: collections.deque[_Pending] = attrs.Factory(collections.deque)
    _next_sequence: int = 1
    _received: int = 0
    _newest_peer_session: int = 0
    _ack_since_ms: int | None = None
    _is_lost: bool = False
    _last_heard_ms: int = 0
    _last_sent_ms: int = 0
    _redialed_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self._last_heard_ms = self.now_ms
        self._last_sent_ms = self.now_ms

    @property
    def is_lost(self) -> bool:
        """Whether the peer was declared lost and has not been heard since."""
        return self._is_lost

    @property
    def is_quiet(self) -> bool:
        """Whether nothing waits to be sent or acknowledged."""
        return not (self._outbox or self._pending or self._ack_since_ms is not None)

    @property
    def is_delivered(self) -> bool:
        """Whether the peer has acknowledged everything."""
        return not (self._outbox or self._pending)

    @property
    def last_used_ms(self) -> int:
        """Monotonic time of the last frame in either direction."""
        return max(self._last_heard_ms, self._last_sent_ms)

    @property
    def has_outgoing(self) -> bool:
        """Whether messages wait for their first transmission."""
        return bool(self._outbox)

    def push(self, item: tuple[str, t.Any]) -> None:
        """Queue a message for the next frame.

        :param item: code and payload.
        """
        self._outbox.append(item)

    def take_body(self, now_ms: int) -> tuple[int, list[tuple[str, t.Any]]]:
        """Return number and messages of the next new frame.

        Number 0 stands for a frame that only acknowledges.

        :param now_ms: monotonic time.
        """
        self._ack_since_ms = None
        self._last_sent_ms = now_ms
        if not self._outbox:
            return 0, []
        body = self._outbox
        self._outbox = []
        sequence = self._next_sequence
        self._next_sequence += 1
        self._pending.append(_Pending(sequence, body, now_ms, now_ms))
        return sequence, body

    def acknowledged(self) -> int:
        """Return the frame number to acknowledge to the peer."""
        return self._received

    def due_again(self, now_ms: int) -> list[tuple[int, list[tuple[str, t.Any]]]]:
        """Return the frames to repeat now, oldest first.

        :param now_ms: monotonic time.
        """
        if not self._pending:
            return []
        if now_ms - self._pending[0].sent_ms < defaults.RETRANSMIT_AFTER_MS:
            return []
        for pending in self._pending:
            pending.sent_ms = now_ms
        return [(pending.sequence, pending.body) for pending in self._pending]

    def receive(self, frame: Frame, now_ms: int) -> Received:
        """Take a frame from the peer.

        :param frame: the frame, addressed to this process.
        :param now_ms: monotonic time.
        """
        result = Received()
        if frame.session < self._newest_peer_session:
            return result
        self._last_heard_ms = now_ms
        self._is_lost = False
        is_meant = frame.peer_session in (0, self.session)
        if frame.session > self.peer_session:
            result.is_reset = self._follow_session(frame, is_meant, now_ms)
        if not is_meant:
            # the frame was meant for an earlier session of this side; the
            # answer tells the peer which one is current.
            self._ack_since_ms = now_ms - defaults.ACK_DELAY_MS
            return result
        if frame.peer_session == self.session:
            self._drop_acknowledged(frame.ack)
        if frame.sequence:
            if self._ack_since_ms is None:
                self._ack_since_ms = now_ms
            if frame.sequence == self._received + 1:
                self._received = frame.sequence
                result.body = frame.body
        return result

    def tick(self, now_ms: int) -> LinkAction | None:
        """Return what is due by time, at most one action.

        :param now_ms: monotonic time.
        """
        waited_ms = self._waited_ms(now_ms)
        if not self._is_lost and waited_ms >= defaults.PEER_LOST_AFTER_MS:
            return LinkAction.LOST
        if waited_ms >= defaults.REDIAL_AFTER_MS and self._may_redial(now_ms):
            self._redialed_ms = now_ms
            return LinkAction.REDIAL
        is_due = self._is_ack_due(now_ms) or self._is_repeat_due(now_ms)
        if is_due or self._outbox:
            return LinkAction.SEND
        return None

    def is_heartbeat_due(self, now_ms: int) -> bool:
        """Whether a watched link has been silent for too long on this side.

        :param now_ms: monotonic time.
        """
        if not self.is_watched or self._pending or self._outbox:
            return False
        return now_ms - self._last_sent_ms >= defaults.HEARTBEAT_INTERVAL_MS

    def mark_lost(self, session: int, now_ms: int) -> None:
        """Declare the peer lost; nothing queued is delivered any more.

        What was received so far stays known, so that a peer which goes on
        with its session is not heard twice.

        :param session: number of the new session, larger than the last.
        :param now_ms: monotonic time.
        """
        self._restart(session, now_ms)
        self._is_lost = True

    def _restart(self, session: int, now_ms: int) -> None:
        """Start a new session on this side and drop what was not delivered."""
        self.session = max(session, self.session + 1)
        self._outbox.clear()
        self._pending.clear()
        self._next_sequence = 1
        self._ack_since_ms = now_ms - defaults.ACK_DELAY_MS
        self._last_heard_ms = now_ms

    def _follow_session(self, frame: Frame, is_meant: bool, now_ms: int) -> bool:
        """Follow the peer into its new session; return whether state was lost."""
        is_replaced = self.peer_session != 0
        self._newest_peer_session = frame.session
        if is_replaced and frame.peer_session == 0:
            # a new process that knows nothing of this side's numbering.
            self._restart(self.session + 1, now_ms)
        self._received = 0
        # a frame for a session of an earlier process under this name may be
        # far into the peer's numbering, which can't be followed from there.
        self.peer_session = frame.session if is_meant or is_replaced else 0
        return is_replaced

    def _drop_acknowledged(self, ack: int) -> None:
        has_progress = False
        while self._pending and self._pending[0].sequence <= ack:
            self._pending.popleft()
            has_progress = True
        # only progress restarts the wait: a peer that is heard but does not
        # acknowledge is reached over a connection that went silent.
        if has_progress and self._pending:
            oldest = self._pending[0]
            oldest.first_sent_ms = max(oldest.first_sent_ms, self._last_heard_ms)

    def _waited_ms(self, now_ms: int) -> int:
        """Return for how long the oldest frame has waited, 0 for none."""
        if not self._pending:
            return 0
        return now_ms - self._pending[0].first_sent_ms

    def _may_redial(self, now_ms: int) -> bool:
        return now_ms - self._redialed_ms >= defaults.REDIAL_AFTER_MS

    def _is_ack_due(self, now_ms: int) -> bool:
        """Whether an acknowledgement has waited long enough for company."""
        since_ms = self._ack_since_ms
        return since_ms is not None and now_ms - since_ms >= defaults.ACK_DELAY_MS

    def _is_repeat_due(self, now_ms: int) -> bool:
        if not self._pending:
            return False
        return now_ms - self._pending[0].sent_ms >= defaults.RETRANSMIT_AFTER_MS
