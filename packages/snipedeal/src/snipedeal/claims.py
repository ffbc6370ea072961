"""Ownership of idempotency keys, replayed from a stream of the log.

A non-idempotent request may run only under a claim that owns its key. The first
claim of a key in log order owns it; a router that appended a claim reads the
stream up to that record before it relies on the claim. A key becomes free again
only by a release, which is appended once it is certain that its owner did not run.

Compaction records repeat all claims before the log drops the original records.
If compaction comes too late, part of the history is missing, the ledger is
incomplete, and new claims are refused.
"""

import base64
import json
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import parse_json
from snipedeal.exceptions import UnreadableError

GRANTED = "granted"
RUNNING = "running"
FINISHED = "finished"
MISMATCH = "mismatch"


@attrs.frozen
class Claim:
    """A claim of a key for an attempt.

    :param key: hash of customer, service and idempotency key.
    :param fingerprint: hash of the request's content.
    """

    key: str
    attempt: str
    fingerprint: str


@attrs.frozen
class Outcome:
    """The recorded result of a claimed attempt.

    :param status: HTTP status of the response.
    :param has_body: whether the body was recorded; one that is too large is not.
    """

    key: str
    attempt: str
    status: int
    content_type: str
    body: bytes
    has_body: bool


@attrs.frozen
class Release:
    """A record that frees a key whose owner certainly did not run."""

    key: str
    attempt: str


@attrs.frozen
class CompactionRecord:
    """One part of a compaction: claims repeated before the log drops them.

    :param id: identifier of the compaction, common to its parts.
    :param covers: the last offset whose effect the compaction contains.
    :param part: index of this part, from zero.
    :param parts: number of parts; only the complete set is applied.
    """

    id: str
    covers: int
    part: int
    parts: int
    entries: list["Ownership"]


@attrs.define
class Ownership:
    """The owner of a key and the outcome of its attempt.

    :param offset: log offset of the claim that owns the key.
    :param outcome: ``None`` until an outcome is recorded.
    """

    key: str
    attempt: str
    fingerprint: str
    offset: int
    outcome: Outcome | None = None


@attrs.frozen
class ClaimResult:
    """The result of a claim.

    :param state: ``granted`` if the claim owns the key, ``running`` or
        ``finished`` if another attempt of the same request owns it, ``mismatch``
        if the key is owned by a request with other content.
    """

    state: str
    entry: Ownership


def partition_of(key: str, partitions: int) -> int:
    """Return the stream partition of a key, given as hexadecimal digits."""
    return int(key[:8], 16) % partitions


def encode_items(
    items: t.Iterable[Claim | Outcome | Release | CompactionRecord],
) -> str:
    """Return the text of one log record that contains the items."""
    return json.dumps([_to_json(item) for item in items], separators=(",", ":"))


@attrs.define
class Ledger:
    """The claims of one partition, up to the last record read."""

    _entries: dict[str, Ownership] = attrs.Factory(dict)
    _offset: int = -1
    _log_start: int | None = None
    _complete_through: int = -1
    _partial_compactions: dict[str, dict[int, CompactionRecord]] = attrs.Factory(dict)
    _records_since_compaction: int = 0

    @property
    def offset(self) -> int:
        """The last offset applied, -1 for none."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Whether no claim of the partition can have been missed.

        Records that the log has dropped must have been read before, or their claims
        repeated by a compaction.
        """
        if self._log_start is None:
            return False
        return self._log_start <= self._complete_through + 1

    @property
    def is_compaction_due(self) -> bool:
        """Whether ``CLAIM_COMPACTION_AFTER_RECORDS`` were read since a compaction."""
        return self._records_since_compaction >= defaults.CLAIM_COMPACTION_AFTER_RECORDS

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str) -> Ownership | None:
        """Return the entry of a key, ``None`` if the key is free."""
        return self._entries.get(key)

    def set_log_start(self, start: int) -> None:
        """Set the oldest offset that the log still retains."""
        if self._log_start is None:
            self._log_start = start
        elif start > self._offset + 1:
            # The log dropped records that were not read here yet.
            self._log_start = start
        if start > self._offset + 1:
            self._offset = start - 1

    def apply(self, offset: int, data: str) -> list[Claim]:
        """Apply the record at an offset; a record already applied is ignored.

        :return: the claims in it that now own their keys.
        """
        if offset <= self._offset:
            return []
        self._offset = offset
        self._records_since_compaction += 1
        if self.is_complete or self._log_start == 0:
            self._complete_through = offset
        owned: list[Claim] = []
        for item in _read_items(data):
            claim = self._apply_item(offset, item)
            if claim is not None:
                owned.append(claim)
        return owned

    def resolve(self, claim: Claim) -> ClaimResult | None:
        """Return the result of a claim that was appended to the stream.

        :return: the result, ``None`` if the key has no owner because the claim was
            not read back yet.
        """
        entry = self._entries.get(claim.key)
        if entry is None:
            return None
        if entry.attempt == claim.attempt:
            return ClaimResult(GRANTED, entry)
        if entry.fingerprint != claim.fingerprint:
            return ClaimResult(MISMATCH, entry)
        state = RUNNING if entry.outcome is None else FINISHED
        return ClaimResult(state, entry)

    def compaction_records(self, compaction_id: str) -> list[CompactionRecord]:
        """Return compaction records that contain all claims."""
        entries = list(self._entries.values())
        size = defaults.CLAIM_COMPACTION_CHUNK_KEYS
        groups = [entries[i : i + size] for i in range(0, len(entries), size)] or [[]]
        return [
            CompactionRecord(compaction_id, self._offset, number, len(groups), group)
            for number, group in enumerate(groups)
        ]

    def _apply_item(self, offset: int, item: t.Any) -> Claim | None:
        if isinstance(item, Claim):
            return self._apply_claim(offset, item)
        if isinstance(item, Outcome):
            entry = self._entries.get(item.key)
            if entry is not None and entry.attempt == item.attempt:
                entry.outcome = item
        elif isinstance(item, Release):
            entry = self._entries.get(item.key)
            is_owner = entry is not None and entry.attempt == item.attempt
            if is_owner and entry.outcome is None:
                del self._entries[item.key]
        elif isinstance(item, CompactionRecord):
            self._apply_compaction(item)
        return None

    def _apply_claim(self, offset: int, claim: Claim) -> Claim | None:
        if claim.key in self._entries:
            return None
        self._entries[claim.key] = Ownership(
            claim.key, claim.attempt, claim.fingerprint, offset
        )
        return claim

    def _apply_compaction(self, record: CompactionRecord) -> None:
        parts = self._partial_compactions.setdefault(record.id, {})
        parts[record.part] = record
        if len(parts) < record.parts:
            return
        del self._partial_compactions[record.id]
        self._records_since_compaction = 0
        if self.is_complete:
            return
        self._merge_compaction(parts.values())
        if record.covers + 1 >= (self._log_start or 0):
            self._complete_through = self._offset

    def _merge_compaction(self, parts: t.Iterable[CompactionRecord]) -> None:
        """Add claims from before a gap in the log; the older claim of a key wins."""
        for part in parts:
            for entry in part.entries:
                known = self._entries.get(entry.key)
                if known is None or entry.offset < known.offset:
                    self._entries[entry.key] = entry


def _to_json(item: Claim | Outcome | Release | CompactionRecord) -> dict[str, t.Any]:
    if isinstance(item, Claim):
        return {"t": "claim", "k": item.key, "a": item.attempt, "f": item.fingerprint}
    if isinstance(item, Release):
        return {"t": "release", "k": item.key, "a": item.attempt}
    if isinstance(item, Outcome):
        return {
            "t": "outcome",
            "k": item.key,
            "a": item.attempt,
            "s": item.status,
            "c": item.content_type,
            "b": base64.b64encode(item.body).decode(),
            "h": item.has_body,
        }
    return {
        "t": "carry",
        "id": item.id,
        "covers": item.covers,
        "part": item.part,
        "parts": item.parts,
        "entries": [_entry_to_json(entry) for entry in item.entries],
    }


def _entry_to_json(entry: Ownership) -> dict[str, t.Any]:
    return {
        "k": entry.key,
        "a": entry.attempt,
        "f": entry.fingerprint,
        "o": entry.offset,
        "r": _to_json(entry.outcome) if entry.outcome else None,
    }


def _read_items(data: str) -> list[t.Any]:
    """Return the items of a log record, none if the record is malformed."""
    try:
        return [_from_json(item) for item in parse_json(data)]
    except (*DECODING_ERRORS, UnreadableError):
        return []


def _from_json(item: dict[str, t.Any]) -> t.Any:
    kind = item["t"]
    if kind == "claim":
        return Claim(item["k"], item["a"], item["f"])
    if kind == "release":
        return Release(item["k"], item["a"])
    if kind == "outcome":
        body = base64.b64decode(item["b"])
        return Outcome(item["k"], item["a"], item["s"], item["c"], body, item["h"])
    if kind == "carry":
        entries = [_entry_from_json(entry) for entry in item["entries"]]
        return CompactionRecord(
            item["id"], item["covers"], item["part"], item["parts"], entries
        )
    return None


def _entry_from_json(item: dict[str, t.Any]) -> Ownership:
    outcome = _from_json(item["r"]) if item["r"] else None
    return Ownership(item["k"], item["a"], item["f"], item["o"], outcome)
