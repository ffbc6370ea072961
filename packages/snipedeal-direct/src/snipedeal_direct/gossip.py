"""Gossip messages that routers exchange over UDP.

All structs are encoded as MessagePack arrays, so fields are identified by position.
"""

import typing as t

import msgspec

from snipedeal.quarantine import Standing
from snipedeal_direct import defaults
from snipedeal_direct.shares import NO_UNDERSERVED_STAGE

#: A duration or count; encoded numbers may be of any size.
NonNegative = t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class TargetReport(msgspec.Struct, array_like=True, tag="t", frozen=True):
    """The load on a target from requests that the sender sent there.

    :param prefill_tokens: uncached prompt tokens sent whose prefill is pending.
    :param running: requests whose response is not complete.
    :param reserved_tokens: tokens of the target's memory reserved for these requests.
    :param measured_tokens: prompt tokens that the sender saw the target prefill, a
        decaying sum as of its latest measurement.
    :param measured_ms: time that their prefill took, likewise.
    :param remaining_events: events that the sender's streams are expected to have yet.
    :param remaining_work_ms: expected time of its calls without prompts, ms, at the
        service's usual speed.
    :param forecast: requests whose cost these include; routers of earlier releases
        include none.
    :param worked_ms: expected time of calls without prompts that have ended there, a
        decaying sum as of the latest.
    :param worked_busy_ms: time that they took, likewise.
    """

    service: str
    target: str
    prefill_tokens: int
    running: int
    reserved_tokens: int
    measured_tokens: int = 0
    measured_ms: int = 0
    remaining_events: int = 0
    remaining_work_ms: int = 0
    forecast: int = 0
    worked_ms: int = 0
    worked_busy_ms: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether the sender has no load on the target."""
        return not (self.prefill_tokens or self.running or self.reserved_tokens)


class QueueReport(msgspec.Struct, array_like=True, tag="q", frozen=True):
    """The sender's queue for one service.

    :param queued_tokens: queued prompt tokens by slack class, that is by the time
        until they must start (``SLACK_CLASSES_MS``), then those of calls that are
        late and those of each tier beyond the configured share.
    :param underserved_stage: lowest stage (quarters of its share already served) of a
        customer that is underserved there.
    """

    service: str
    queued_tokens: tuple[int, ...]
    underserved_stage: int

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued and no customer is underserved."""
        return (
            not any(self.queued_tokens)
            and self.underserved_stage == NO_UNDERSERVED_STAGE
        )


class CustomerReport(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """What a customer requested and was served at the sender.

    Both are exponentially decaying sums, in capacity units, as of the time of sending.
    """

    service: str
    customer: str
    demand: int
    served: int


class PartsReport(msgspec.Struct, array_like=True, tag="p", frozen=True):
    """Prompt parts that were sent to a target, as pairs of identifier and tokens."""

    service: str
    target: str
    parts: tuple[tuple[str, int], ...]


class RecordsReport(msgspec.Struct, array_like=True, tag="r", frozen=True):
    """Records of a change feed that the sender has read from the store.

    :param start: offset of the first record.
    :param end: offset after the last one.
    :param records: keys and values, ``None`` for a deleted key; empty if
        they are too large for a datagram.
    :param era: era of the store to which the offsets belong; routers of earlier
        releases name none.
    """

    feed: str
    start: int
    end: int
    records: tuple[tuple[str, bytes | None], ...]
    era: int | None = None


class CrashReport(msgspec.Struct, array_like=True, tag="x", frozen=True):
    """What is known of a crash of a target.

    :param instance: identifies one start of the target.
    :param age_ms: time since the crash, ms.
    :param standings: suspect and cleared traits, see :mod:`snipedeal.quarantine`.
    """

    instance: str
    age_ms: int
    standings: tuple[tuple[int, Standing], ...]


class LimitReport(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """The rate limit that a target names.

    :param started_ms: start of the target's instance, Unix ms.
    :param limit: requests a second, ``None`` if it names none any more.
    :param age_ms: time since the response that told it, ms.
    """

    service: str
    target: str
    started_ms: int
    limit: float | None
    age_ms: int


class LeavingReport(msgspec.Struct, array_like=True, tag="v", frozen=True):
    """A target that has said in a response that it leaves.

    :param instance: identifies one start of the target.
    :param age_ms: time since the first response that told it, ms.
    """

    service: str
    instance: str
    age_ms: int


Report = (
    TargetReport
    | QueueReport
    | CustomerReport
    | PartsReport
    | RecordsReport
    | CrashReport
    | LimitReport
    | LeavingReport
)


class StoreSpan(msgspec.Struct, array_like=True, frozen=True):
    """The span in which the store has answered, as the sender knows it.

    :param age_ms: time since the latest answer, ms.
    :param length_ms: time from the first answer of the span to the latest, ms.
    :param era: latest era of the store that began while a router followed it, -1 if
        none is known.
    :param era_age_ms: time since the first router noticed that, ms.
    """

    age_ms: NonNegative
    length_ms: NonNegative
    era: t.Annotated[int, msgspec.Meta(ge=-1, le=2**53)] = -1
    era_age_ms: NonNegative = 0


class Gossip(msgspec.Struct, array_like=True):
    """A datagram: the sender's state and the reports that changed.

    :param version: version of the configuration in force at the sender.
    :param positions: next offset that the sender reads, by change feed.
    :param is_store_reachable: whether the sender's calls to the store succeed.
    :param store_span: when the store has answered reads of the targets' feed, ``None``
        if the sender knows of no answer.
    :param eras: era of the store to which each position belongs, by change feed.
    :param is_short: whether the sender refuses most calls for want of processor time;
        routers of earlier releases do not say so.
    :param evacuations: what the sender knows of availability zones: whether each is
        evacuated, and the era of the store and the offset up to which that is known.
    """

    sender: str
    version: int
    positions: dict[str, int]
    is_store_reachable: bool
    reports: list[Report]
    store_span: StoreSpan | None = None
    eras: dict[str, int] = {}
    is_short: bool = False
    evacuations: dict[str, tuple[bool, int, int]] = {}


class FeedSnapshot(msgspec.Struct, array_like=True, frozen=True):
    """What the sender knows from a change feed: the newest record of each key.

    :param era: era of the store to which the position belongs.
    :param offset: next offset that the sender reads.
    """

    feed: str
    era: int
    offset: int
    records: tuple[tuple[str, bytes], ...]


def pack(header: Gossip, reports: t.Sequence[Report]) -> t.Iterator[bytes]:
    """Yield datagrams with all reports; at least one, as a heartbeat.

    Reports are added to a datagram until they reach ``PEER_DATAGRAM_BYTES``, so it
    may exceed that size by one report and the header.

    :param header: the sender's state, repeated in each datagram.
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
