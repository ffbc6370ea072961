"""Who may give orders to the targets of a service, from a stream of the log.

A router that takes the right to give orders appends a lease; the lease's log
offset is its fencing number. A later lease supersedes an earlier one, whoever
holds it. When all targets of a service are as the configuration wants them,
the holder appends that too, so that nobody else takes over for nothing.
"""

import json
import typing as t

import attrs

from snipedeal.platform import LogBatch

LEASE = "lease"
FULFILLED = "fulfilled"
NO_FENCE = -1


@attrs.frozen
class Lease:
    """The right to give orders for a service.

    :param fence: its fencing number.
    """

    service: str
    holder: str
    fence: int


@attrs.define
class OrderBook:
    """Leases and fulfilled wishes, as far as the stream was read."""

    _offset: int = -1
    _leases: dict[str, Lease] = attrs.Factory(dict)
    _fulfilled: dict[str, str] = attrs.Factory(dict)

    @property
    def offset(self) -> int:
        """The last offset applied, -1 for none."""
        return self._offset

    def note_start(self, start: int) -> None:
        """Skip offsets that the log no longer has."""
        self._offset = max(self._offset, start - 1)

    def apply(self, offset: int, data: str) -> None:
        """Take the record at an offset; what can't be read changes nothing."""
        if offset <= self._offset:
            return
        self._offset = offset
        try:
            fields = json.loads(data)
            kind, service = fields["t"], fields["service"]
            if kind == LEASE:
                self._leases[service] = Lease(service, fields["holder"], offset)
            elif kind == FULFILLED and fields["fence"] == self.fence(service):
                self._fulfilled[service] = fields["wish"]
        except (ValueError, KeyError, TypeError):
            return

    def take_batch(self, batch: LogBatch) -> None:
        """Take records that were read from the stream."""
        self.note_start(batch.start)
        for record in batch.records:
            self.apply(record.offset, record.data)

    def fence(self, service: str) -> int:
        """Return the newest fencing number of a service."""
        lease = self._leases.get(service)
        return lease.fence if lease else NO_FENCE

    def holder(self, service: str) -> str:
        """Return who holds the newest lease, empty for nobody."""
        lease = self._leases.get(service)
        return lease.holder if lease else ""

    def is_fulfilled(self, service: str, wish: str) -> bool:
        """Whether a wish is on record as fulfilled."""
        return self._fulfilled.get(service) == wish


def lease_text(service: str, holder: str) -> str:
    """Return the record that takes the right to give orders."""
    return json.dumps({"t": LEASE, "service": service, "holder": holder})


def fulfilled_text(service: str, fence: int, wish: str) -> str:
    """Return the record that says that all targets are as wanted."""
    fields: dict[str, t.Any] = {"t": FULFILLED, "service": service}
    return json.dumps({**fields, "fence": fence, "wish": wish})


@attrs.define
class FenceGuard:
    """The last check before an order reaches a target.

    :param max_age_ms: how old a reading of the log may be when acting on it.
    """

    max_age_ms: int
    _highest: int = NO_FENCE
    _read_ms: int | None = None

    @property
    def highest(self) -> int:
        """The highest fencing number seen."""
        return self._highest

    def note_read(self, started_ms: int, fence: int) -> None:
        """Take a reading of the log.

        :param started_ms: monotonic time at which the reading was begun.
        :param fence: the newest fencing number that it showed.
        """
        self._read_ms = started_ms
        self._highest = max(self._highest, fence)

    def is_current(self, fence: int) -> bool:
        """Whether no newer lease is known."""
        return fence >= self._highest

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the last reading is recent enough to act on.

        :param now_ms: monotonic time; a process that was frozen finds that
            it has passed.
        """
        return self._read_ms is not None and now_ms - self._read_ms <= self.max_age_ms

    def note_acted(self, fence: int) -> None:
        """Remember the fencing number of an order that was passed on."""
        self._highest = max(self._highest, fence)
