"""Leases for sending orders to the targets of a service, kept in a log stream.

A router acquires a lease by appending it; the log offset of the lease is its
fencing token. A later lease supersedes an earlier one, regardless of the holders.
When all targets of a service are in their desired state, the lease holder appends
a record of that, so that no other router takes the lease over needlessly.
"""

import json
import typing as t

import attrs

from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import parse_json
from snipedeal.exceptions import UnreadableError
from snipedeal.platform import LogBatch

LEASE = "lease"
FULFILLED = "fulfilled"
NO_FENCE = -1


@attrs.frozen
class Lease:
    """The right to send orders to the targets of a service.

    :param holder: name of the router that holds the lease.
    :param fence: the fencing token.
    """

    service: str
    holder: str
    fence: int


@attrs.define
class LeaseTable:
    """Leases and the desired states reached, up to the last record read."""

    _offset: int = -1
    _leases: dict[str, Lease] = attrs.Factory(dict)
    _fulfilled: dict[str, str] = attrs.Factory(dict)

    @property
    def offset(self) -> int:
        """The last offset applied, -1 for none."""
        return self._offset

    def set_log_start(self, start: int) -> None:
        """Skip offsets that the log no longer retains."""
        self._offset = max(self._offset, start - 1)

    def apply(self, offset: int, data: str) -> None:
        """Apply the record at an offset; a malformed record is ignored."""
        if offset <= self._offset:
            return
        self._offset = offset
        try:
            fields = parse_json(data)
            kind, service = fields["t"], fields["service"]
            if kind == LEASE:
                self._leases[service] = Lease(service, fields["holder"], offset)
            elif kind == FULFILLED and fields["fence"] == self.fence(service):
                self._fulfilled[service] = fields["wish"]
        except (*DECODING_ERRORS, UnreadableError):
            return

    def apply_batch(self, batch: LogBatch) -> None:
        """Apply a batch of records read from the stream."""
        self.set_log_start(batch.start)
        for record in batch.records:
            self.apply(record.offset, record.data)

    def fence(self, service: str) -> int:
        """Return the newest fencing token of a service."""
        lease = self._leases.get(service)
        return lease.fence if lease else NO_FENCE

    def holder(self, service: str) -> str:
        """Return the holder of the newest lease, empty if there is no lease."""
        lease = self._leases.get(service)
        return lease.holder if lease else ""

    def is_fulfilled(self, service: str, state_hash: str) -> bool:
        """Whether a desired state is recorded as reached.

        :param state_hash: hash of the desired state and the targets.
        """
        return self._fulfilled.get(service) == state_hash


def encode_lease(service: str, holder: str) -> str:
    """Return the text of a lease record."""
    return json.dumps({"t": LEASE, "service": service, "holder": holder})


def encode_fulfilled(service: str, fence: int, state_hash: str) -> str:
    """Return the text of a record that the desired state was reached.

    :param fence: fencing token of the sender's lease.
    :param state_hash: hash of the desired state and the targets.
    """
    fields: dict[str, t.Any] = {"t": FULFILLED, "service": service}
    return json.dumps({**fields, "fence": fence, "wish": state_hash})


@attrs.define
class FenceGuard:
    """Check the fencing token of an order before it is passed to a target.

    :param max_age_ms: maximum age of the last read of the log.
    """

    max_age_ms: int
    _highest: int = NO_FENCE
    _read_ms: int | None = None

    @property
    def highest(self) -> int:
        """The highest fencing token seen."""
        return self._highest

    def note_read(self, started_ms: int, fence: int) -> None:
        """Record a read of the log.

        :param started_ms: monotonic time at which the read began.
        :param fence: the newest fencing token that was read.
        """
        self._read_ms = started_ms
        self._highest = max(self._highest, fence)

    def is_current(self, fence: int) -> bool:
        """Whether no newer lease is known."""
        return fence >= self._highest

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the last read of the log is recent enough to act on.

        After a pause of this process it is not, and the log must be read again.

        :param now_ms: monotonic time.
        """
        return self._read_ms is not None and now_ms - self._read_ms <= self.max_age_ms

    def note_acted(self, fence: int) -> None:
        """Record the fencing token of an order that was passed on."""
        self._highest = max(self._highest, fence)
