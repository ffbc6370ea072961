"""Decide who may run a non-idempotent request, from a stream of the log.

The first claim of a key in the order of the log owns the key. Whoever appended
a claim reads the stream up to it before it believes to own anything. A key is
free again only after a release, which is appended when the owner has proof
that nothing ran. Claims are carried forward before the log drops them; where
that did not happen in time, the history has a hole and new claims are refused.
"""

import base64
import json
import typing as t

import attrs

from snipedeal import defaults

GRANTED = "granted"
RUNNING = "running"
FINISHED = "finished"
MISMATCH = "mismatch"


@attrs.frozen
class Claim:
    """Claim a key for an attempt.

    :param key: hash of customer, service and idempotency key.
    :param fingerprint: hash of the request's content.
    """

    key: str
    attempt: str
    fingerprint: str


@attrs.frozen
class Outcome:
    """The recorded end of a claimed attempt."""

    key: str
    attempt: str
    status: int
    content_type: str
    body: bytes
    has_body: bool


@attrs.frozen
class Release:
    """Free a key whose owner is proven not to have run."""

    key: str
    attempt: str


@attrs.frozen
class Carry:
    """Carry claims forward before the log drops their records.

    :param covers: the last offset whose effect all parts contain.
    """

    id: str
    covers: int
    part: int
    parts: int
    entries: list["Entry"]


@attrs.define
class Entry:
    """What is known of a key.

    :param offset: log offset of the claim that owns it.
    """

    key: str
    attempt: str
    fingerprint: str
    offset: int
    outcome: Outcome | None = None


@attrs.frozen
class Verdict:
    """What a claimed attempt may do.

    :param state: ``granted``, ``running``, ``finished`` or ``mismatch``.
    """

    state: str
    entry: Entry


def partition_of(key: str, partitions: int) -> int:
    """Return the stream partition of a key, given as hexadecimal digits."""
    return int(key[:8], 16) % partitions


def encode_entries(entries: t.Iterable[Claim | Outcome | Release | Carry]) -> str:
    """Return the text of one log record that holds several entries."""
    return json.dumps([_to_json(entry) for entry in entries], separators=(",", ":"))


@attrs.define
class Ledger:
    """The claims of one partition, as far as its stream was read."""

    _entries: dict[str, Entry] = attrs.Factory(dict)
    _offset: int = -1
    _start: int | None = None
    _covered: int = -1
    _carries: dict[str, dict[int, Carry]] = attrs.Factory(dict)
    _since_carry: int = 0

    @property
    def offset(self) -> int:
        """The last offset applied, -1 for none."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Whether every claim ever made in the partition is known."""
        if self._start is None:
            return False
        return self._start <= self._covered + 1

    @property
    def is_carry_due(self) -> bool:
        """Whether claims should be carried forward now."""
        return self._since_carry >= defaults.CLAIM_CARRY_AFTER_RECORDS

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, key: str) -> Entry | None:
        """Return what is known of a key."""
        return self._entries.get(key)

    def note_start(self, start: int) -> None:
        """Take notice of the oldest offset that the log still has."""
        if self._start is None:
            self._start = start
        elif start > self._offset + 1:
            # records between were dropped before they could be read here.
            self._start = start
        if start > self._offset + 1:
            self._offset = start - 1

    def apply(self, offset: int, data: str) -> list[Claim]:
        """Take the record at an offset.

        :return: the claims in it that now own their keys.
        """
        if offset <= self._offset:
            return []
        self._offset = offset
        self._since_carry += 1
        if self.is_complete or self._start == 0:
            self._covered = offset
        owned: list[Claim] = []
        for item in _read_items(data):
            claim = self._apply_item(offset, item)
            if claim is not None:
                owned.append(claim)
        return owned

    def judge(self, claim: Claim) -> Verdict | None:
        """Return what a claim that was read back may do.

        :return: ``None`` where the key has no owner, so that the claim was
            not read yet.
        """
        entry = self._entries.get(claim.key)
        if entry is None:
            return None
        if entry.attempt == claim.attempt:
            return Verdict(GRANTED, entry)
        if entry.fingerprint != claim.fingerprint:
            return Verdict(MISMATCH, entry)
        state = RUNNING if entry.outcome is None else FINISHED
        return Verdict(state, entry)

    def carry(self, carry_id: str) -> list[Carry]:
        """Return all claims as parts to be appended again."""
        entries = list(self._entries.values())
        size = defaults.CLAIM_CARRY_CHUNK_KEYS
        groups = [entries[i : i + size] for i in range(0, len(entries), size)] or [[]]
        return [
            Carry(carry_id, self._offset, number, len(groups), group)
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
        elif isinstance(item, Carry):
            self._apply_carry(item)
        return None

    def _apply_claim(self, offset: int, claim: Claim) -> Claim | None:
        if claim.key in self._entries:
            return None
        self._entries[claim.key] = Entry(
            claim.key, claim.attempt, claim.fingerprint, offset
        )
        return claim

    def _apply_carry(self, carry: Carry) -> None:
        parts = self._carries.setdefault(carry.id, {})
        parts[carry.part] = carry
        if len(parts) < carry.parts:
            return
        del self._carries[carry.id]
        self._since_carry = 0
        if self.is_complete:
            return
        self._merge_carry(parts.values())
        if carry.covers + 1 >= (self._start or 0):
            self._covered = self._offset

    def _merge_carry(self, parts: t.Iterable[Carry]) -> None:
        """Add what was carried over a hole; the older claim of a key wins."""
        for part in parts:
            for entry in part.entries:
                known = self._entries.get(entry.key)
                if known is None or entry.offset < known.offset:
                    self._entries[entry.key] = entry


def _to_json(item: Claim | Outcome | Release | Carry) -> dict[str, t.Any]:
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


def _entry_to_json(entry: Entry) -> dict[str, t.Any]:
    return {
        "k": entry.key,
        "a": entry.attempt,
        "f": entry.fingerprint,
        "o": entry.offset,
        "r": _to_json(entry.outcome) if entry.outcome else None,
    }


def _read_items(data: str) -> list[t.Any]:
    """Return the entries of a record; what can't be read is left out."""
    try:
        fields = json.loads(data)
        return [_from_json(item) for item in fields]
    except (ValueError, KeyError, TypeError):
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
        return Carry(item["id"], item["covers"], item["part"], item["parts"], entries)
    return None


def _entry_from_json(item: dict[str, t.Any]) -> Entry:
    outcome = _from_json(item["r"]) if item["r"] else None
    return Entry(item["k"], item["a"], item["f"], item["o"], outcome)
