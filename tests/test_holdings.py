"""Account of what callers hold, by customer, and seats for connections."""

from hypothesis import given
from hypothesis import strategies as st

from snipedeal.holdings import HeldMemory
from snipedeal.holdings import Seats

CHANGES = st.lists(
    st.tuples(st.sampled_from(["a", "b", ""]), st.integers(1, 400)), max_size=60
)


@given(CHANGES)
def test_what_is_admitted_stays_below_the_limit(changes):
    memory = HeldMemory(1_000)
    held = []
    for owner, size in changes:
        if memory.admits(owner, size):
            memory.add(owner, size)
            held.append((owner, size))
        assert memory.total_bytes <= memory.limit_bytes
    for owner, size in held:
        memory.add(owner, -size)
    assert memory.total_bytes == 0
    assert not memory._by_owner


def test_a_flood_of_one_customer_leaves_room_for_others():
    memory = HeldMemory(1_000_000)
    while memory.admits("flood", 1_000):
        memory.add("flood", 1_000)
    assert memory.owned_bytes("flood") <= 750_000
    assert memory.admits("light", 200_000)
    memory.add("light", 10_000)
    assert not memory.admits("flood", 1_000)
    assert memory.admits("light", 200_000)


def test_connections_without_a_request_give_way_first():
    seats = Seats(3)
    assert [seats.add(name) for name in ("busy", "head", "idle")] == [None] * 3
    seats.note_beginning("busy")
    seats.note_busy("busy")
    seats.note_beginning("head")
    assert seats.add("new") == "idle"
    seats.remove("idle")
    seats.note_beginning("new")
    assert seats.add("next") == "head"
    seats.remove("head")
    seats.note_busy("new")
    seats.note_busy("next")
    assert seats.add("last") == "last"


def test_a_connection_that_became_idle_gives_way_after_older_ones():
    seats = Seats(2)
    seats.add("first")
    seats.add("second")
    seats.note_beginning("first")
    seats.note_busy("first")
    seats.note_idle("first")
    assert seats.add("third") == "second"
