"""Rate limits that targets name."""

import pytest

from snipedeal_direct.limits import parse_rate_limit


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"5.2", 5.2),
        (b"0", 0.0),
        (b" 12 ", 12.0),
        (b"1e9", 1e9),
        (None, None),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"five", None),
    ],
)
def test_rate_limit_that_is_no_finite_number_is_none(value, limit):
    assert parse_rate_limit(value) == limit
