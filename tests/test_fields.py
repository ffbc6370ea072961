"""Headers held as one block of bytes."""

from hypothesis import given
from hypothesis import strategies as st

from snipedeal_direct import defaults
from snipedeal_direct.fields import Fields

NAMES = st.sampled_from([b"a", b"aa", b"b", b"host", b"x-a"])
VALUES = st.binary(max_size=6).map(lambda value: value.replace(b"\n", b":"))


@given(
    st.lists(st.tuples(NAMES, VALUES), max_size=12),
    st.sampled_from([0, defaults.LISTED_HEADERS]),
)
def test_all_pairs_are_kept_in_order(pairs, others):
    pairs += [(b"other", b"")] * others
    fields = Fields(pairs)
    assert list(fields) == pairs
    for name in (b"a", b"aa", b"b", b"host", b"x-a", b"missing"):
        values = [value for key, value in pairs if key == name]
        assert fields.get_all(name) == values
        assert fields.get(name) == (values[0] if values else None)


def test_short_lines_are_not_held_as_objects():
    fields = Fields([(b"a", b"")] * 4_000)
    assert fields.overhead_bytes < 4_000
    assert list(fields) == [(b"a", b"")] * 4_000
