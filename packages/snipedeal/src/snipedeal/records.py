"""Configuration records as they stand in the log: envelopes and snapshots."""

import json
import typing as t

import attrs
import msgspec

from snipedeal.checking import CheckError
from snipedeal.checking import structure
from snipedeal.exceptions import RecordError
from snipedeal.schemas import parse_spec

SNAPSHOT_KIND = "snapshot"


@attrs.frozen
class Record:
    """The envelope of a record that changes one object.

    :param id: identifier of this publication, chosen by the publisher.
    :param base_revision: the revision that it replaces, ``None`` to create.
    :param spec: the specification, ``None`` to delete.
    """

    schema_version: int
    id: str
    kind: str
    name: str
    base_revision: int | None
    spec: t.Any
    author: str = ""


@attrs.frozen
class StoredObject:
    """An object as a snapshot carries it.

    :param usable_version: schema version of ``usable_spec``.
    :param usable_spec: the last specification that the writer could use.
    """

    kind: str
    name: str
    revision: int
    schema_version: int
    spec: t.Any
    usable_version: int | None = None
    usable_spec: t.Any = None


@attrs.frozen
class SnapshotPart:
    """A part of a snapshot record.

    :param covers: the last offset whose effect it contains.
    :param part: number of this part from zero.
    """

    schema_version: int
    id: str
    kind: str
    covers: int
    part: int
    parts: int
    objects: list[StoredObject]


@attrs.frozen
class PartHead:
    """What has to be known of a snapshot's part before it is parsed."""

    kind: str
    covers: int
    parts: int


def read_head(text: str) -> PartHead | None:
    """Return the head of a snapshot's part, ``None`` for other texts."""
    try:
        head = msgspec.json.decode(text, type=PartHead)
    except msgspec.MsgspecError:
        return None
    return head if head.kind == SNAPSHOT_KIND else None


def parse_record(data: str) -> Record:
    """Return the record that a JSON text holds.

    :raises RecordError: the text is no record.
    """
    envelope = parse_envelope(data)
    if isinstance(envelope, RecordError):
        raise envelope
    if isinstance(envelope, SnapshotPart):
        raise RecordError("snapshots are written by routers only", field="kind")
    return envelope


def check_record(record: Record) -> None:
    """Check a record's specification against its schema version.

    :raises UnknownSchemaError: the schema version is unknown here.
    :raises RecordError: a field breaks a rule.
    """
    if record.spec is not None:
        parse_spec(record.kind, record.schema_version, record.spec)
    elif record.base_revision is None:
        raise RecordError("nothing to delete without a base", field="base_revision")


def parse_envelope(data: str) -> Record | SnapshotPart | RecordError:
    """Return what a JSON text holds, or the error that it is no record."""
    try:
        fields = json.loads(data)
    except ValueError as error:
        return RecordError(f"not JSON: {error}")
    if not isinstance(fields, dict):
        return RecordError("not a JSON object")
    cls = SnapshotPart if fields.get("kind") == SNAPSHOT_KIND else Record
    try:
        return structure(fields, cls)
    except CheckError as error:
        fault = error.faults[0]
        return RecordError(fault.message, field=fault.field)
