"""Apply configuration records from the log, with optimistic concurrency control.

The revision of an object is the log offset of the last record accepted for it. A
record is accepted if its base revision equals the object's current revision. This
depends only on the envelopes of the records, so that processes that know different
schema versions accept the same records. If a process can't use the specification
of an accepted record, the revision still advances and the last usable
specification stays in force.
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
from snipedeal.records import read_part_header
from snipedeal.schemas import KEY_HASH_PREFIX
from snipedeal.schemas import Customer
from snipedeal.schemas import Pool
from snipedeal.schemas import Service
from snipedeal.schemas import parse_spec

CUSTOMER = "customer"
CUSTOMER_CACHE_SIZE = 4_096
SNAPSHOT_OBJECTS_PER_PART = 1_000
NO_OFFSET = -1

ACCEPTED = "accepted"
REJECTED = "rejected"
UNUSABLE = "unusable"
IGNORED = "ignored"


@attrs.define
class _ObjectState:
    """An object's current revision and the specification in force.

    Specifications are kept as JSON text, which takes a fraction of the memory
    of parsed objects.

    :param spec: the current specification, ``None`` if the object is deleted.
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
    """The result of applying a record.

    :param status: ``accepted``, ``rejected``, ``unusable`` or ``ignored``.
    :param field: the invalid field, empty if there is none.
    """

    offset: int
    status: str
    reason: str = ""
    field: str = ""
    id: str = ""
    kind: str = ""
    name: str = ""


@attrs.frozen
class _PendingRecord:
    """A record read while the configuration was incomplete.

    :param data: its JSON text, empty for a part of a snapshot.
    """

    offset: int
    data: str


@attrs.define
class Configuration:
    """The configuration in force and the log offset that it includes.

    There are many customers, of which one process uses few, so only those recently
    used are kept parsed.

    :param kinds: kinds of objects to keep; ``None`` keeps all. An agent, for
        example, does not need customers.
    """

    kinds: frozenset[str] | None = None
    services: dict[str, Service] = attrs.Factory(dict)
    pools: dict[str, Pool] = attrs.Factory(dict)
    _offset: int = NO_OFFSET
    _is_complete: bool = False
    _objects: dict[str, dict[str, _ObjectState]] = attrs.Factory(dict)
    _pending: list[_PendingRecord] = attrs.Factory(list)
    _snapshot_parts: dict[str, dict[int, str]] = attrs.Factory(dict)
    _customer_by_key: dict[bytes, str] = attrs.Factory(dict)
    _customer_cache: collections.OrderedDict[str, Customer] = attrs.Factory(
        collections.OrderedDict
    )

    @property
    def offset(self) -> int:
        """Offset of the last applied record, -1 for none."""
        return self._offset

    @property
    def is_complete(self) -> bool:
        """Whether all records up to the offset are applied or covered by a snapshot."""
        return self._is_complete

    def find_customer(self, key_hash: str) -> str | None:
        """Return the name of the customer that a key's hash belongs to, if any.

        :param key_hash: ``sha256:`` and 64 hexadecimal digits.
        """
        return self._customer_by_key.get(_key_digest(key_hash))

    def customer(self, name: str) -> Customer | None:
        """Return a customer, ``None`` if it does not exist."""
        known = self._customer_cache.get(name)
        if known is not None:
            return known
        found = self._objects.get(CUSTOMER, {}).get(name)
        if found is None or found.usable_spec is None:
            return None
        parsed = _parse_json_spec(CUSTOMER, found.usable_version, found.usable_spec)
        self._customer_cache[name] = parsed
        if len(self._customer_cache) > CUSTOMER_CACHE_SIZE:
            self._customer_cache.popitem(last=False)
        return parsed

    def customer_names(self) -> list[str]:
        """Return the names of all customers in force."""
        found = self._objects.get(CUSTOMER, {})
        return [name for name, item in found.items() if item.usable_spec is not None]

    def revision(self, kind: str, name: str) -> int | None:
        """Return an object's current revision, ``None`` if it does not exist."""
        found = self._objects.get(kind, {}).get(name)
        if found is None or found.is_deleted:
            return None
        return found.revision

    def objects(self) -> list[StoredObject]:
        """Return all objects, deleted ones included, ordered by revision."""
        stored = [
            _to_stored(kind, name, item)
            for kind, members in self._objects.items()
            for name, item in members.items()
        ]
        return sorted(stored, key=lambda item: item.revision)

    def set_log_start(self, start: int) -> None:
        """Update completeness from the oldest offset that the log retains.

        The configuration is incomplete if the log no longer retains the next record
        to read, or dropped its first records before this process read them.

        :param start: the oldest offset.
        """
        if start <= self._offset + 1 and (self._is_complete or start == 0):
            self._is_complete = True
            return
        if start > self._offset + 1:
            self._is_complete = False

    def apply(self, offset: int, data: str) -> Applied:
        """Apply the record at an offset; offsets already applied are ignored.

        While the configuration is incomplete, records are kept until a snapshot
        is loaded.

        :param offset: offset in the log.
        :param data: JSON text of the record.
        """
        if offset <= self._offset:
            return Applied(offset, IGNORED, "the offset is already in force")
        envelope = parse_envelope(data)
        if isinstance(envelope, SnapshotPart):
            return self._apply_snapshot_part(offset, envelope, data)
        if not self._is_complete:
            self._pending.append(_PendingRecord(offset, data))
            return Applied(offset, IGNORED, "waiting for a snapshot")
        self._offset = offset
        if isinstance(envelope, RecordError):
            return Applied(offset, REJECTED, envelope.message, envelope.field)
        return self._apply_record(offset, envelope)

    def snapshot(self, snapshot_id: str) -> list[str]:
        """Return the configuration as the JSON texts of snapshot records.

        :param snapshot_id: identifier that all parts of the snapshot carry.
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

    def load_newer_snapshot(self, texts: t.Iterable[str]) -> bool:
        """Load a peer's snapshot if it is complete and newer than this configuration.

        :param texts: JSON texts of all its parts.
        :return: whether it was loaded.
        """
        texts = list(texts)
        headers = [read_part_header(text) for text in texts]
        if not headers or None in headers:
            return False
        header = headers[0]
        if len(texts) != header.parts or header.covers <= self._offset:
            return False
        self._load_snapshot(header.covers, texts)
        self._replay_pending()
        return True

    def _apply_snapshot_part(
        self, offset: int, part: SnapshotPart, data: str
    ) -> Applied:
        if self._is_complete:
            self._offset = offset
            return Applied(offset, IGNORED, "snapshot", id=part.id, kind=part.kind)
        known = self._snapshot_parts.setdefault(part.id, {})
        known[part.part] = data
        self._pending.append(_PendingRecord(offset, ""))
        if len(known) < part.parts or part.covers < self._offset:
            return Applied(offset, IGNORED, "waiting for the rest of a snapshot")
        self._load_snapshot(part.covers, list(known.values()))
        self._replay_pending()
        return Applied(offset, ACCEPTED, "snapshot", id=part.id, kind=part.kind)

    def _load_snapshot(self, covers: int, texts: list[str]) -> None:
        """Replace all objects by those of a snapshot, parsing one part at a time.

        Parsing all parts at once would need more memory.
        """
        self._objects.clear()
        self.services.clear()
        self.pools.clear()
        self._customer_by_key.clear()
        self._customer_cache.clear()
        self._offset = covers
        self._is_complete = True
        self._snapshot_parts.clear()
        for text in texts:
            part = parse_envelope(text)
            if not isinstance(part, SnapshotPart):
                continue
            for stored in part.objects:
                if self._is_kept(stored.kind):
                    self._restore_object(stored)

    def _replay_pending(self) -> None:
        pending = self._pending
        self._pending = []
        for record in pending:
            if record.offset <= self._offset:
                continue
            if record.data:
                self.apply(record.offset, record.data)
            self._offset = record.offset

    def _restore_object(self, stored: StoredObject) -> None:
        spec = None if stored.spec is None else _to_json(stored.spec)
        item = _ObjectState(stored.revision, stored.schema_version, spec)
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
            self._activate(stored.kind, stored.name, version, candidate, value)
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
        self._set_revision(offset, record)
        if record.spec is None:
            self._deactivate(record.kind, record.name)
            return result(ACCEPTED, "deleted")
        try:
            value = parse_spec(record.kind, record.schema_version, record.spec)
        except RecordError as error:
            return result(UNUSABLE, error.message, error.field)
        self._activate(
            record.kind, record.name, record.schema_version, record.spec, value
        )
        return result(ACCEPTED)

    def _set_revision(self, offset: int, record: Record) -> None:
        """Set an object's revision; the specification in force stays."""
        members = self._objects.setdefault(record.kind, {})
        spec = None if record.spec is None else _to_json(record.spec)
        item = members.get(record.name)
        if item is None:
            members[record.name] = _ObjectState(offset, record.schema_version, spec)
            return
        item.revision = offset
        item.schema_version = record.schema_version
        item.spec = spec

    def _activate(
        self, kind: str, name: str, version: int, spec: t.Any, value: t.Any
    ) -> None:
        self._deactivate(kind, name)
        item = self._objects[kind][name]
        text = _to_json(spec)
        item.usable_version = version
        item.usable_spec = item.spec if item.spec == text else text
        if isinstance(value, Customer):
            for key in value.keys:
                self._customer_by_key[_key_digest(key)] = name
        elif isinstance(value, Service):
            self.services[name] = value
        elif isinstance(value, Pool):
            self.pools[name] = value

    def _deactivate(self, kind: str, name: str) -> None:
        item = self._objects[kind][name]
        if kind == CUSTOMER:
            before = self.customer(name)
            for key in before.keys if before else ():
                if self._customer_by_key.get(_key_digest(key)) == name:
                    del self._customer_by_key[_key_digest(key)]
            self._customer_cache.pop(name, None)
        elif kind == "service":
            self.services.pop(name, None)
        elif kind == "pool":
            self.pools.pop(name, None)
        item.usable_spec = None

    def _is_kept(self, kind: str) -> bool:
        return self.kinds is None or kind in self.kinds


def _to_json(spec: t.Any) -> str:
    return json.dumps(spec, separators=(",", ":"))


def _parse_json_spec(kind: str, version: int, text: str) -> t.Any:
    return parse_spec(kind, version, json.loads(text))


def _to_stored(kind: str, name: str, item: _ObjectState) -> StoredObject:
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


def _key_digest(key_hash: str) -> bytes:
    """Return the first 16 bytes of a key's hash.

    Half of the hash is enough to distinguish keys and saves memory. The digest of a
    malformed hash is empty.
    """
    try:
        return bytes.fromhex(key_hash.removeprefix(KEY_HASH_PREFIX))[:16]
    except ValueError:
        return b""
