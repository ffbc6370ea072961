"""Merge the stream of configuration records, alike in every process.

Whether a record is accepted depends only on the envelope of the records
before it: its base revision must be the object's current revision, which is
the log offset of the record last accepted for the object. So processes that
know different schema versions agree on which records won. A record that won
but whose specification a process can't use moves the revision and leaves the
last usable specification in force.
"""

import collections
import json
import typing as t

import attrs

from snipedeal.checking import unstructure
from snipedeal.exceptions import RecordError
from snipedeal.records import SNAPSHOT_KIND
from snipedeal.records import Record
from snipedeal.records import SnapshotPart
from snipedeal.records import StoredObject
from snipedeal.records import parse_envelope
from snipedeal.records import read_head
from snipedeal.schemas import KEY_HASH_PREFIX
from snipedeal.schemas import Customer
from snipedeal.schemas import Pool
from snipedeal.schemas import Service
from snipedeal.schemas import parse_spec

CUSTOMER = "customer"
PARSED_CUSTOMERS_KEPT = 4_096
SNAPSHOT_OBJECTS_PER_PART = 1_000
NOTHING_APPLIED = -1

ACCEPTED = "accepted"
REJECTED = "rejected"
UNUSABLE = "unusable"
IGNORED = "ignored"


@attrs.define
class _Object:
    """An object's current revision, and what is in force of it.

    Specifications are kept as JSON text, which takes a fraction of the memory
    of parsed ones.

    :param spec: the current specification, ``None`` where it was deleted.
    :param usable_spec: the last one that this process could use.
    """

    revision: int
    schema_version: int
    spec: str | None
    usable_version: int = 0
    usable_spec: str | None = None

    @property
    def is_deleted(self) -> bool:
        """Whether the current revision deletes the object."""
        return self.spec is None


@attrs.frozen
class Applied:
    """What became of a record.

    :param status: ``accepted``, ``rejected``, ``unusable`` or ``ignored``.
    :param field: the field at fault, where there is one.
    """

    offset: int
    status: str
    reason: str = ""
    field: str = ""
    id: str = ""
    kind: str = ""
    name: str = ""


@attrs.frozen
class _Waiting:
    """A record read before the state was complete."""

    offset: int
    data: str


@attrs.define
class Configuration:
    """The configuration in force and the offset up to which it goes.

    Customers are many and few are in use at one process, so that they are
    parsed when asked for.

    :param kinds: kinds to keep; ``None`` keeps all. A process beside a
        target has no use for customers.
    """

    kinds: frozenset[str] | None = None
    services: dict[str, Service] = attrs.Factory(dict)
    pools: dict[str, Pool] = attrs.Factory(dict)
    _offset: int = NOTHING_APPLIED
    _is_complete: bool = False
    _objects: dict[str, dict[str, _Object]] = attrs.Factory(dict)
    _waiting: list[_Waiting] = attrs.Factory(list)
    _parts: dict[str, dict[int, str]] = attrs.Factory(dict)
    _customer_by_key: dict[bytes, str] = attrs.Factory(dict)
    _parsed: collections.OrderedDict[str, Customer] = attrs.Factory(
        collections.OrderedDict
    )

    @property
    def offset(self) -> int:
        """The last offset in force, -1 for none."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Whether no record before the offset is missing."""
        return self._is_complete

    def find_customer(self, key_hash: str) -> str | None:
        """Return the name of the customer that a key's hash belongs to.

        :param key_hash: ``sha256:`` and 64 hexadecimal digits.
        """
        return self._customer_by_key.get(_compact_key(key_hash))

    def customer(self, name: str) -> Customer | None:
        """Return a customer, ``None`` where it does not exist."""
        known = self._parsed.get(name)
        if known is not None:
            return known
        found = self._objects.get(CUSTOMER, {}).get(name)
        if found is None or found.usable_spec is None:
            return None
        parsed = _parse_text(CUSTOMER, found.usable_version, found.usable_spec)
        self._parsed[name] = parsed
        if len(self._parsed) > PARSED_CUSTOMERS_KEPT:
            self._parsed.popitem(last=False)
        return parsed

    def customer_names(self) -> list[str]:
        """Return the names of all customers in force."""
        found = self._objects.get(CUSTOMER, {})
        return [name for name, item in found.items() if item.usable_spec is not None]

    def revision(self, kind: str, name: str) -> int | None:
        """Return the current revision of an object, ``None`` if it never was."""
        found = self._objects.get(kind, {}).get(name)
        if found is None or found.is_deleted:
            return None
        return found.revision

    def objects(self) -> list[StoredObject]:
        """Return all objects, in the order of their revisions."""
        stored = [
            _to_stored(kind, name, item)
            for kind, members in self._objects.items()
            for name, item in members.items()
        ]
        return sorted(stored, key=lambda item: item.revision)

    def note_start(self, start: int) -> None:
        """Take notice of the oldest offset that the log still has.

        :param start: that offset.
        """
        if start <= self._offset + 1 and (self._is_complete or start == 0):
            self._is_complete = True
            return
        if start > self._offset + 1:
            self._is_complete = False

    def apply(self, offset: int, data: str) -> Applied:
        """Take the record at an offset; older offsets change nothing.

        :param offset: its place in the log.
        :param data: its JSON text.
        """
        if offset <= self._offset:
            return Applied(offset, IGNORED, "the offset is already in force")
        envelope = parse_envelope(data)
        if isinstance(envelope, SnapshotPart):
            return self._apply_snapshot_part(offset, envelope, data)
        if not self._is_complete:
            self._waiting.append(_Waiting(offset, data))
            return Applied(offset, IGNORED, "waiting for a snapshot")
        self._offset = offset
        if isinstance(envelope, RecordError):
            return Applied(offset, REJECTED, envelope.message, envelope.field)
        return self._apply_record(offset, envelope)

    def snapshot(self, snapshot_id: str) -> list[str]:
        """Return the configuration as the texts of snapshot records.

        :param snapshot_id: identifier for these parts.
        """
        objects = self.objects()
        size = SNAPSHOT_OBJECTS_PER_PART
        groups = [objects[i : i + size] for i in range(0, len(objects), size)] or [[]]
        return [
            json.dumps(
                unstructure(
                    SnapshotPart(
                        1,
                        snapshot_id,
                        SNAPSHOT_KIND,
                        self._offset,
                        part,
                        len(groups),
                        group,
                    )
                )
            )
            for part, group in enumerate(groups)
        ]

    def adopt(self, texts: t.Iterable[str]) -> bool:
        """Take a peer's snapshot unless it is older than what is in force.

        :param texts: the texts of all its parts.
        :return: whether it was taken.
        """
        texts = list(texts)
        heads = [read_head(text) for text in texts]
        if not heads or None in heads:
            return False
        head = heads[0]
        if len(texts) != head.parts or head.covers <= self._offset:
            return False
        self._load(head.covers, texts)
        self._replay()
        return True

    def _apply_snapshot_part(
        self, offset: int, part: SnapshotPart, data: str
    ) -> Applied:
        if self._is_complete:
            self._offset = offset
            return Applied(offset, IGNORED, "snapshot", id=part.id, kind=part.kind)
        known = self._parts.setdefault(part.id, {})
        known[part.part] = data
        self._waiting.append(_Waiting(offset, ""))
        if len(known) < part.parts or part.covers < self._offset:
            return Applied(offset, IGNORED, "waiting for the rest of a snapshot")
        self._load(part.covers, list(known.values()))
        self._replay()
        return Applied(offset, ACCEPTED, "snapshot", id=part.id, kind=part.kind)

    def _load(self, covers: int, texts: list[str]) -> None:
        """Take the parts of a snapshot, parsing one at a time to save memory."""
        self._objects.clear()
        self.services.clear()
        self.pools.clear()
        self._customer_by_key.clear()
        self._parsed.clear()
        self._offset = covers
        self._is_complete = True
        self._parts.clear()
        for text in texts:
            part = parse_envelope(text)
            if not isinstance(part, SnapshotPart):
                continue
            for stored in part.objects:
                if self._is_kept(stored.kind):
                    self._restore(stored)

    def _replay(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for record in waiting:
            if record.offset <= self._offset:
                continue
            if record.data:
                self.apply(record.offset, record.data)
            self._offset = record.offset

    def _restore(self, stored: StoredObject) -> None:
        spec = None if stored.spec is None else _to_text(stored.spec)
        item = _Object(stored.revision, stored.schema_version, spec)
        self._objects.setdefault(stored.kind, {})[stored.name] = item
        for version, candidate in (
            (stored.schema_version, stored.spec),
            (stored.usable_version, stored.usable_spec),
        ):
            if version is None or candidate is None:
                continue
            try:
                value = parse_spec(stored.kind, version, candidate)
            except RecordError:
                continue
            self._put_in_force(stored.kind, stored.name, version, candidate, value)
            return

    def _apply_record(self, offset: int, record: Record) -> Applied:
        def result(status: str, reason: str = "", field: str = "") -> Applied:
            return Applied(
                offset, status, reason, field, record.id, record.kind, record.name
            )

        if not self._is_kept(record.kind):
            return result(IGNORED, "this process keeps no objects of the kind")
        current = self.revision(record.kind, record.name)
        if record.base_revision != current:
            return result(
                REJECTED,
                f"base revision {record.base_revision} is not the current {current}",
                "base_revision",
            )
        self._advance(offset, record)
        if record.spec is None:
            self._take_out_of_force(record.kind, record.name)
            return result(ACCEPTED, "deleted")
        try:
            value = parse_spec(record.kind, record.schema_version, record.spec)
        except RecordError as error:
            return result(UNUSABLE, error.message, error.field)
        self._put_in_force(
            record.kind, record.name, record.schema_version, record.spec, value
        )
        return result(ACCEPTED)

    def _advance(self, offset: int, record: Record) -> None:
        """Move the object's revision, keeping what is in force."""
        members = self._objects.setdefault(record.kind, {})
        spec = None if record.spec is None else _to_text(record.spec)
        item = members.get(record.name)
        if item is None:
            members[record.name] = _Object(offset, record.schema_version, spec)
            return
        item.revision = offset
        item.schema_version = record.schema_version
        item.spec = spec

    def _put_in_force(
        self, kind: str, name: str, version: int, spec: t.Any, value: t.Any
    ) -> None:
        self._take_out_of_force(kind, name)
        item = self._objects[kind][name]
        text = _to_text(spec)
        item.usable_version = version
        item.usable_spec = item.spec if item.spec == text else text
        if isinstance(value, Customer):
            for key in value.keys:
                self._customer_by_key[_compact_key(key)] = name
        elif isinstance(value, Service):
            self.services[name] = value
        elif isinstance(value, Pool):
            self.pools[name] = value

    def _take_out_of_force(self, kind: str, name: str) -> None:
        item = self._objects[kind][name]
        if kind == CUSTOMER:
            before = self.customer(name)
            for key in before.keys if before else ():
                if self._customer_by_key.get(_compact_key(key)) == name:
                    del self._customer_by_key[_compact_key(key)]
            self._parsed.pop(name, None)
        elif kind == "service":
            self.services.pop(name, None)
        elif kind == "pool":
            self.pools.pop(name, None)
        item.usable_spec = None

    def _is_kept(self, kind: str) -> bool:
        return self.kinds is None or kind in self.kinds


def _to_text(spec: t.Any) -> str:
    return json.dumps(spec, separators=(",", ":"))


def _parse_text(kind: str, version: int, text: str) -> t.Any:
    return parse_spec(kind, version, json.loads(text))


def _to_stored(kind: str, name: str, item: _Object) -> StoredObject:
    has_usable = item.usable_spec is not None
    return StoredObject(
        kind,
        name,
        item.revision,
        item.schema_version,
        None if item.spec is None else json.loads(item.spec),
        item.usable_version if has_usable else None,
        json.loads(item.usable_spec) if item.usable_spec is not None else None,
    )


def _compact_key(key_hash: str) -> bytes:
    """Return a key's hash in few bytes; half of it tells keys apart."""
    try:
        return bytes.fromhex(key_hash.removeprefix(KEY_HASH_PREFIX))[:16]
    except ValueError:
        return b""
