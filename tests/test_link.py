import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.codec import Frame
from snipedeal.link import Link
from snipedeal.link import LinkAction


class Side:
    """One end of a link over a channel that tests control."""

    def __init__(self, name, session, now_ms):
        self.name = name
        self.link = Link(session, now_ms)
        self.delivered = []
        self.resets = 0
        self.sent_in_session = []

    def frames(self, now_ms, repeat):
        items = self.link.due_again(now_ms) if repeat else []
        items.append(self.link.take_body(now_ms))
        return [
            Frame(
                self.name,
                "other",
                "addr",
                self.link.session,
                self.link.peer_session,
                sequence,
                self.link.acknowledged(),
                0,
                0,
                body,
            )
            for sequence, body in items
        ]

    def take(self, frame, now_ms):
        received = self.link.receive(frame, now_ms)
        if received.is_reset:
            self.resets += 1
            self.delivered.append("reset")
        self.delivered.extend(payload for _, payload in received.body)


def exchange(sender, receiver, now_ms, repeat=False):
    for frame in sender.frames(now_ms, repeat):
        receiver.take(frame, now_ms)


class TestDelivery:
    def test_delivers_in_order(self):
        a, b = Side("a", 1, 0), Side("b", 1, 0)
        for number in range(3):
            a.link.push(("n", number))
            exchange(a, b, number)
        assert b.delivered == [0, 1, 2]

    def test_repeats_a_lost_frame_once_acknowledged_no_more(self):
        a, b = Side("a", 1, 0), Side("b", 1, 0)
        a.link.push(("n", 0))
        a.frames(0, False)
        later = defaults.RETRANSMIT_AFTER_MS
        exchange(a, b, later, repeat=True)
        exchange(b, a, later)
        assert b.delivered == [0]
        assert a.link.due_again(10 * later) == []

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["push_a", "push_b", "a", "b"]),
                st.sampled_from(["ok", "drop", "double", "late"]),
            ),
            max_size=60,
        )
    )
    def test_delivers_once_and_in_order_over_a_bad_channel(self, steps):
        a, b = Side("a", 1, 0), Side("b", 1, 0)
        now_ms = 0
        pushed = {"a": 0, "b": 0}
        late = []
        for step, fate in steps:
            now_ms += defaults.RETRANSMIT_AFTER_MS
            if step.startswith("push"):
                side = a if step == "push_a" else b
                side.link.push(("n", pushed[side.name]))
                pushed[side.name] += 1
                continue
            sender, receiver = (a, b) if step == "a" else (b, a)
            for frame in sender.frames(now_ms, True):
                if fate == "late":
                    late.append((receiver, frame))
                elif fate != "drop":
                    receiver.take(frame, now_ms)
                    if fate == "double":
                        receiver.take(frame, now_ms)
        for receiver, frame in reversed(late):
            receiver.take(frame, now_ms)
        for _ in range(4):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            exchange(a, b, now_ms, repeat=True)
            exchange(b, a, now_ms, repeat=True)
        assert b.delivered == list(range(pushed["a"]))
        assert a.delivered == list(range(pushed["b"]))


class TestSessions:
    def settle(self, a, b, now_ms):
        for _ in range(6):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            exchange(a, b, now_ms, repeat=True)
            exchange(b, a, now_ms, repeat=True)
        return now_ms

    def test_peer_that_restarts_is_noticed_and_heard_again(self):
        a, b = Side("a", 1, 0), Side("b", 1, 0)
        a.link.push(("n", "old"))
        now_ms = self.settle(a, b, 0)
        b = Side("b", 2, now_ms)
        a.link.push(("n", "lost"))
        now_ms = self.settle(a, b, now_ms)
        assert a.resets == 1
        assert "old" not in b.delivered
        a.link.push(("n", "new"))
        b.link.push(("n", "answer"))
        self.settle(a, b, now_ms)
        assert b.delivered[-1] == "new"
        assert a.delivered[-1] == "answer"

    def test_both_declare_each_other_lost_and_come_back(self):
        a, b = Side("a", 10, 0), Side("b", 20, 0)
        a.link.push(("n", 1))
        b.link.push(("n", 2))
        now_ms = self.settle(a, b, 0)
        a.link.mark_lost(11, now_ms)
        b.link.mark_lost(21, now_ms)
        a.link.push(("n", "from a"))
        b.link.push(("n", "from b"))
        self.settle(a, b, now_ms)
        assert a.delivered[-1] == "from b"
        assert b.delivered[-1] == "from a"
        assert not a.link.is_lost

    def test_one_side_declares_the_other_lost(self):
        a, b = Side("a", 10, 0), Side("b", 20, 0)
        b.link.push(("n", "early"))
        now_ms = self.settle(a, b, 0)
        a.link.mark_lost(11, now_ms)
        now_ms = self.settle(a, b, now_ms)
        b.link.push(("n", "from b"))
        a.link.push(("n", "from a"))
        self.settle(a, b, now_ms)
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
    def test_any_history_of_losses_ends_in_a_working_link(self, steps):
        a, b = Side("a", 1_000, 0), Side("b", 1_000, 0)
        now_ms = 1_000
        for number, step in enumerate(steps):
            now_ms += defaults.RETRANSMIT_AFTER_MS
            if step == "a":
                exchange(a, b, now_ms, repeat=True)
            elif step == "b":
                exchange(b, a, now_ms, repeat=True)
            elif step == "cut":
                a.frames(now_ms, True)
                b.frames(now_ms, True)
            elif step == "lost_a":
                a.link.mark_lost(now_ms, now_ms)
            elif step == "lost_b":
                b.link.mark_lost(now_ms, now_ms)
            elif step == "restart_b":
                b = Side("b", now_ms, now_ms)
            else:
                side = a if step == "push_a" else b
                side.link.push(("n", (side.name, number)))
        now_ms = self.settle(a, b, now_ms)
        a.link.push(("n", "last of a"))
        b.link.push(("n", "last of b"))
        self.settle(a, b, now_ms)
        assert a.delivered[-1] == "last of b"
        assert b.delivered[-1] == "last of a"
        for side in (a, b):
            numbers = [item[1] for item in side.delivered if isinstance(item, tuple)]
            assert numbers == sorted(set(numbers))


class TestTime:
    def test_silence_leads_to_redial_and_then_loss(self):
        link = Link(1, 0)
        link.push(("n", 1))
        link.take_body(0)
        assert link.tick(defaults.RETRANSMIT_AFTER_MS) is LinkAction.SEND
        assert link.tick(defaults.REDIAL_AFTER_MS) is LinkAction.REDIAL
        assert link.tick(defaults.PEER_LOST_AFTER_MS) is LinkAction.LOST

    def test_a_peer_heard_over_its_own_connection_does_not_hide_ours(self):
        a, b = Side("a", 1, 0), Side("b", 1, 0)
        a.link.push(("n", 1))
        exchange(a, b, 0)
        exchange(b, a, 1)
        a.link.push(("n", 2))
        a.frames(2, False)
        for now_ms in range(100, defaults.REDIAL_AFTER_MS + 100, 100):
            b.link.push(("n", now_ms))
            exchange(b, a, now_ms)
        a.link.due_again(defaults.REDIAL_AFTER_MS)
        assert a.link.tick(defaults.REDIAL_AFTER_MS + 2) is LinkAction.REDIAL
