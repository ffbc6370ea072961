"""Keep the rate limits that targets name in their responses."""

import math


def parse_rate_limit(value: bytes | None) -> float | None:
    """Return a target's rate limit, requests a second.

    :param value: the header's value, ``None`` if the response has none.
    :return: ``None`` if there is no limit, or none that can be kept: a value that is
        not a number, not finite or negative.
    """
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None
