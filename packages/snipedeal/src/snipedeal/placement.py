"""Choose the gate that a new request is sent to first.

Placement functions register in :data:`PLACEMENTS`. They choose among the usable
gates that have not declined a request recently; only the prefix placement reads
how many slots are free. A gate without a free slot declines the request, which is
then offered to several gates.
"""

import random
import typing as t

import attrs

from snipedeal.utils import rank_by_rendezvous

_PREFIX_BYTES = 256


@attrs.frozen
class Candidate:
    """The state of a gate as known to a router.

    :param in_flight: number of this router's attempts at the gate.
    :param free: number of free slots that the gate last reported.
    """

    name: str
    zone: str
    in_flight: int
    free: int


@attrs.frozen
class PlacementContext:
    """Properties of the request and router that a placement may use.

    :param zone: the router's availability zone.
    :param prefix: content of the request, of which the first 256 bytes are used.
    """

    customer: str
    zone: str
    prefix: bytes


PlacementFunction = t.Callable[
    [t.Sequence[Candidate], PlacementContext, random.Random], Candidate | None
]

#: Placement functions by name.
PLACEMENTS: dict[str, PlacementFunction] = {}


def register_placement(name: str) -> t.Callable:
    """Register a placement function under its name in the settings."""

    def decorate(function: PlacementFunction) -> PlacementFunction:
        PLACEMENTS[name] = function
        return function

    return decorate


@register_placement("spread")
def place_by_two_choices(
    candidates: t.Sequence[Candidate], context: PlacementContext, rng: random.Random
) -> Candidate | None:
    """Choose the less loaded of two random gates (Mitzenmacher 2001).

    On equal load a gate in the router's zone is preferred.
    """
    if not candidates:
        return None
    sampled = rng.sample(list(candidates), min(2, len(candidates)))
    return min(sampled, key=lambda c: (c.in_flight, c.zone != context.zone))


@register_placement("prefix")
def place_by_prefix(
    candidates: t.Sequence[Candidate], context: PlacementContext, rng: random.Random
) -> Candidate | None:
    """Choose the gate that likely has the prefix cached, unless it is loaded.

    Rendezvous hashing of customer and prefix ranks the gates. Cache events are
    not used because they arrive late and incomplete. A gate is skipped if this
    router has more attempts there than at the gate with the fewest of them, by more
    than one attempt and by more than half of the skipped gate's free slots.
    """
    if not candidates:
        return None
    by_name = {candidate.name: candidate for candidate in candidates}
    key = f"{context.customer}/{context.prefix[:_PREFIX_BYTES].hex()}"
    lowest_in_flight = min(candidate.in_flight for candidate in candidates)
    for name in rank_by_rendezvous(key, by_name):
        candidate = by_name[name]
        if candidate.in_flight - lowest_in_flight <= max(1, candidate.free // 2):
            return candidate
    return place_by_two_choices(candidates, context, rng)
