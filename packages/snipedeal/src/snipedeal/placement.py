"""Choose the gate that a request is tried at first.

Placements register in :data:`PLACEMENTS`. They only order the gates that have
room as far as the router knows; a gate without room declines, and the request
is then offered to several.
"""

import random
import typing as t

import attrs

from snipedeal.utils import rank_by_rendezvous

_PREFIX_BYTES = 256


@attrs.frozen
class Candidate:
    """A gate as a router sees it.

    :param in_flight: this router's own attempts there.
    :param free: slots that the gate last reported free.
    """

    name: str
    zone: str
    in_flight: int
    free: int


@attrs.frozen
class Placing:
    """What a placement may look at.

    :param zone: the router's availability zone.
    :param prefix: the first bytes of the request's content.
    """

    customer: str
    zone: str
    prefix: bytes


PlacementFunction = t.Callable[
    [t.Sequence[Candidate], Placing, random.Random], Candidate | None
]

#: Placement functions by name.
PLACEMENTS: dict[str, PlacementFunction] = {}


def register_placement(name: str) -> t.Callable:
    """Register a placement function under a name that settings may give."""

    def decorate(function: PlacementFunction) -> PlacementFunction:
        PLACEMENTS[name] = function
        return function

    return decorate


@register_placement("spread")
def place_by_spread(
    candidates: t.Sequence[Candidate], placing: Placing, chance: random.Random
) -> Candidate | None:
    """Take the less loaded of two gates drawn at random (Mitzenmacher 2001)."""
    if not candidates:
        return None
    drawn = chance.sample(list(candidates), min(2, len(candidates)))
    return min(drawn, key=lambda c: (c.in_flight, c.zone != placing.zone))


@register_placement("prefix")
def place_by_prefix(
    candidates: t.Sequence[Candidate], placing: Placing, chance: random.Random
) -> Candidate | None:
    """Take the gate where the prefix is likely cached, unless it is loaded.

    The gate is found by rendezvous hashing of customer and prefix, so that it
    needs no cache events, which come late and with gaps. A gate that has more
    of this router's attempts than the least loaded one by half its room is
    passed over.
    """
    if not candidates:
        return None
    by_name = {candidate.name: candidate for candidate in candidates}
    key = f"{placing.customer}/{placing.prefix[:_PREFIX_BYTES].hex()}"
    least = min(candidate.in_flight for candidate in candidates)
    for name in rank_by_rendezvous(key, by_name):
        candidate = by_name[name]
        if candidate.in_flight - least <= max(1, candidate.free // 2):
            return candidate
    return place_by_spread(candidates, placing, chance)
