import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.codec import Frame
from snipedeal.link import Link
from snipedeal.link import LinkAction


class Endpoint:
    """One end of a link over a channel that the test controls."""

    def __init__(self, name, session, now_ms):
        self.name = name
        self.link = Link(session, now_ms)
        self.delivered = []
        self.resets = 0
        self.sent_in_session = []

    def frames(self, now_ms, retransmit):
        items = self.link.due_retransmissions(now_ms) if retransmit else []
        items.append(self.link.next_frame(now_ms))
        return [
            Frame(
                self.name,
                "other",
                "addr",
                self.link.session,
                self.link.peer_session,
                sequence,
                self.link.ack_sequence(),
                0,
                0,
                body,
            )
            for sequence, body in items
        ]

    def receive_frame(self, frame, now_ms):
        received = self.link.receive(frame, now_ms)
        if received.is_reset:
            self.resets += 1
            self.delivered.append("reset")
        self.delivered.extend(payload for _, payload in received.body)


def exchange(sender, receiver, now_ms, retransmit=False):
    for frame in sender.frames(now_ms, retransmit):
        receiver.receive_frame(frame, now_ms)


class TestDelivery:
    def test_delivers_in_order(self):
        a, b = Endpoint("a", 1, 0), Endpoint("b", 1, 0)
        for number in range(3):
            a.link.push(("n", number))
            exchange(a, b, number)
        assert b.delivered == [0, 1, 2]

    def test_retransmits_a_lost_frame_until_it_is_acknowledged(self):
        a, b = Endpoint("a", 1, 0), Endpoint("b", 1, 0)
        a.link.push(("n", 0))
        a.frames(0, False)
        later = defaults.RETRANSMIT_AFTER_MS
        exchange(a, b, later, retransmit=True)
        exchange(b, a, later)
        assert b.delivered == [0]
        assert a.link.due_retransmissions(10 * later) == []

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["push_a", "push_b", "a", "b"]),
                st.sampled_from(["ok", "drop", "double", "late"]),
            ),
            max_size=60,
        )
    )
    def test_delivers_once_and_in_order_over_an_unreliable_channel(self, steps):
        a, b = Endpoint("a", 1, 0), Endpoint("b", 1, 0)
        now_ms = 0
        pushed = {"a": 0, "b": 0}
        late = []
        for step, delivery in steps:
            now_ms += defaults.RETRANSMIT_AFTER_MS
            if step.startswith("push"):
                side = a if step == "push_a" else b
                side.link.push(("n", pushed[side.name]))
                pushed[side.name] += 1
                continue
            sender, receiver = (a, b) if step == "a" else (b, a)
            for frame in sender.frames(now_ms, True):
                if delivery == "late":
                    late.append((receiver, frame))
                elif delivery != "drop":
                    receiver.receive_frame(frame, now_ms)
                    if delivery == "double":
                        receiver.receive_frame(frame, now_ms)
        for receiver, frame in reversed(late):
            receiver.receive_frame(frame, now_ms)
        for _ in range(4):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            exchange(a, b, now_ms, retransmit=True)
            exchange(b, a, now_ms, retransmit=True)
        assert b.delivered == list(range(pushed["a"]))
        assert a.delivered == list(range(pushed["b"]))


class TestSessions:
    def exchange_repeatedly(self, a, b, now_ms):
        for _ in range(6):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            exchange(a, b, now_ms, retransmit=True)
            exchange(b, a, now_ms, retransmit=True)
        return now_ms

    def test_peer_restart_is_detected_and_delivery_resumes(self):
        a, b = Endpoint("a", 1, 0), Endpoint("b", 1, 0)
        a.link.push(("n", "old"))
        now_ms = self.exchange_repeatedly(a, b, 0)
        b = Endpoint("b", 2, now_ms)
        a.link.push(("n", "lost"))
        now_ms = self.exchange_repeatedly(a, b, now_ms)
        assert a.resets == 1
        assert "old" not in b.delivered
        a.link.push(("n", "new"))
        b.link.push(("n", "answer"))
        self.exchange_repeatedly(a, b, now_ms)
        assert b.delivered[-1] == "new"
        assert a.delivered[-1] == "answer"

    def test_link_recovers_after_both_sides_declare_a_loss(self):
        a, b = Endpoint("a", 10, 0), Endpoint("b", 20, 0)
        a.link.push(("n", 1))
        b.link.push(("n", 2))
        now_ms = self.exchange_repeatedly(a, b, 0)
        a.link.mark_lost(11, now_ms)
        b.link.mark_lost(21, now_ms)
        a.link.push(("n", "from a"))
        b.link.push(("n", "from b"))
        self.exchange_repeatedly(a, b, now_ms)
        assert a.delivered[-1] == "from b"
        assert b.delivered[-1] == "from a"
        assert not a.link.is_lost

    def test_link_recovers_after_one_side_declares_a_loss(self):
        a, b = Endpoint("a", 10, 0), Endpoint("b", 20, 0)
        b.link.push(("n", "early"))
        now_ms = self.exchange_repeatedly(a, b, 0)
        a.link.mark_lost(11, now_ms)
        now_ms = self.exchange_repeatedly(a, b, now_ms)
        b.link.push(("n", "from b"))
        a.link.push(("n", "from a"))
        self.exchange_repeatedly(a, b, now_ms)
        assert a.delivered[-1] == "from b"
        assert b.delivered[-1] == "from a"
        assert b.resets == 1

    @hypothesis.given(
        st.lists(
            st.sampled_from(
                ["a", "b", "lost_a", "lost_b", "restart_b", "push_a", "push_b", "cut"]
            ),
            max_size=40,
        )
    )
    def test_link_works_after_any_sequence_of_losses_and_restarts(self, steps):
        a, b = Endpoint("a", 1_000, 0), Endpoint("b", 1_000, 0)
        now_ms = 1_000
        for number, step in enumerate(steps):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            if step == "a":
                exchange(a, b, now_ms, retransmit=True)
            elif step == "b":
                exchange(b, a, now_ms, retransmit=True)
            elif step == "cut":
                a.frames(now_ms, True)
                b.frames(now_ms, True)
            elif step == "lost_a":
                a.link.mark_lost(now_ms, now_ms)
            elif step == "lost_b":
                b.link.mark_lost(now_ms, now_ms)
            elif step == "restart_b":
                b = Endpoint("b", now_ms, now_ms)
            else:
                side = a if step == "push_a" else b
                side.link.push(("n", (side.name, number)))
        now_ms = self.exchange_repeatedly(a, b, now_ms)
        a.link.push(("n", "last of a"))
        b.link.push(("n", "last of b"))
        self.exchange_repeatedly(a, b, now_ms)
        assert a.delivered[-1] == "last of b"
        assert b.delivered[-1] == "last of a"
        for side in (a, b):
            numbers = [item[1] for item in side.delivered if isinstance(item, tuple)]
            assert numbers == sorted(set(numbers))


class TestTimeouts:
    def test_missing_acknowledgement_leads_to_redial_and_then_loss(self):
        link = Link(1, 0)
        link.push(("n", 1))
        link.next_frame(0)
        assert link.tick(defaults.RETRANSMIT_AFTER_MS) is LinkAction.SEND
        assert link.tick(defaults.REDIAL_AFTER_MS) is LinkAction.REDIAL
        assert link.tick(defaults.PEER_LOST_AFTER_MS) is LinkAction.LOST

    def test_incoming_frames_do_not_mask_a_dead_outgoing_connection(self):
        a, b = Endpoint("a", 1, 0), Endpoint("b", 1, 0)
        a.link.push(("n", 1))
        exchange(a, b, 0)
        exchange(b, a, 1)
        a.link.push(("n", 2))
        a.frames(2, False)
        for now_ms in range(100, defaults.REDIAL_AFTER_MS + 100, 100):
            b.link.push(("n", now_ms))
            exchange(b, a, now_ms)
        a.link.due_retransmissions(defaults.REDIAL_AFTER_MS)
        assert a.link.tick(defaults.REDIAL_AFTER_MS + 2) is LinkAction.REDIAL
