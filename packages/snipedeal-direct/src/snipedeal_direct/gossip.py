"""Messages that routers send each other by datagram."""

import typing as t

import msgspec

from snipedeal_direct import defaults
from snipedeal_direct.queueing import NOBODY_SHORT


class TargetReport(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """A router's own share of a target's load."""

    service: str
    target: str
    reading: int
    running: int
    held: int

    @property
    def is_idle(self) -> bool:
        """Whether the router has nothing at the target."""
        return not (self.reading or self.running or self.held)


class QueueReport(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """What waits at a router.

    :param waiting: prompt tokens, by when they must start.
    :param short_stage: lowest stage of a customer that goes short there.
    """

    service: str
    waiting: tuple[int, ...]
    short_stage: int

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits."""
        return not any(self.waiting) and self.short_stage == NOBODY_SHORT


class CustomerReport(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """What a customer asked for and was given at a router; fades from then on."""

    service: str
    customer: str
    asked: int
    taken: int


class PartsReport(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Prompt parts that a target was sent: identifiers and tokens."""

    service: str
    target: str
    parts: tuple[tuple[str, int], ...]


class RecordsReport(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """Records of a feed that the sender has read.

    :param start: position of the first record.
    :param end: position after the last one.
    :param settle_ms: how long removals should not be believed yet.
    :param records: keys and values, ``None`` for a dropped key; empty where
        they are too large for a datagram.
    """

    feed: str
    start: int
    end: int
    settle_ms: int
    records: tuple[tuple[str, bytes | None], ...]


Report = TargetReport | QueueReport | CustomerReport | PartsReport | RecordsReport


class Gossip(msgspec.Struct, array_like=True):
    """A datagram: what changed at a router since its last ones.

    :param version: configuration in force at the sender.
    :param positions: how far the sender has read each feed, by name.
    :param has_reach: whether the sender's calls to the store succeed.
    """

    sender: str
    version: int
    positions: dict[str, int]
    has_reach: bool
    reports: list[Report]


def pack(header: Gossip, reports: t.Sequence[Report]) -> t.Iterator[bytes]:
    """Yield datagrams of bounded size; one at least, as a heartbeat.

    :param header: what each datagram says of its sender.
    """
    encoder = msgspec.msgpack.Encoder()
    start = 0
    while True:
        size = 0
        end = start
        while end < len(reports) and size < defaults.PEER_DATAGRAM_BYTES:
            size += len(encoder.encode(reports[end]))
            end += 1
        header.reports = list(reports[start:end])
        yield encoder.encode(header)
        start = end
        if start >= len(reports):
            return
