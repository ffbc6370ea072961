"""Configuration records in the log: envelopes and snapshots."""

import typing as t

import attrs
import msgspec

from snipedeal.checking import CheckError
from snipedeal.checking import structure
from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import parse_json
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import UnreadableError
from snipedeal.schemas import parse_spec

SNAPSHOT_KIND = "snapshot"


@attrs.frozen
class Record:
    """The envelope of a record that changes one object.

    :param id: identifier of this publication, chosen by the publisher.
    :param base_revision: revision that the record replaces, ``None`` to create the
        object.
    :param spec: the specification, ``None`` to delete the object.
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
    """An object in a snapshot.

    :param usable_version: schema version of ``usable_spec``.
    :param usable_spec: the last specification that the snapshot's writer could use.
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
    """One part of a snapshot.

    :param covers: offset of the last record that the snapshot includes.
    :param part: index of this part, from zero.
    :param parts: number of parts.
    """

    schema_version: int
    id: str
    kind: str
    covers: int
    part: int
    parts: int
    objects: list[StoredObject]


@attrs.frozen
class SnapshotPartHeader:
    """Fields of a snapshot part that are needed before it is parsed in full."""

    kind: str
    covers: int
    parts: int


def read_part_header(text: str) -> SnapshotPartHeader | None:
    """Return the header of a snapshot part, ``None`` for other texts."""
    try:
        header = msgspec.json.decode(text, type=SnapshotPartHeader)
    except DECODING_ERRORS:
        return None
    return header if header.kind == SNAPSHOT_KIND else None


def parse_record(data: str) -> Record:
    """Return the record that a JSON text holds.

    :raises RecordError: the text is not a valid record, or is a snapshot.
    """
    envelope = parse_envelope(data)
    if isinstance(envelope, RecordError):
        raise envelope
    if isinstance(envelope, SnapshotPart):
        raise RecordError("snapshots are written by routers only", field="kind")
    return envelope


def check_record(record: Record) -> None:
    """Check a record's specification against its schema version.

    :raises UnknownSchemaError: this process does not know the schema version.
    :raises RecordError: a field is invalid.
    """
    if record.spec is not None:
        parse_spec(record.kind, record.schema_version, record.spec)
    elif record.base_revision is None:
        raise RecordError(
            "deleting an object requires its base revision", field="base_revision"
        )


def parse_envelope(data: str) -> Record | SnapshotPart | RecordError:
    """Return the record in a JSON text, or the error if it is invalid."""
    try:
        fields = parse_json(data)
    except UnreadableError as error:
        return RecordError(error.message)
    if not isinstance(fields, dict):
        return RecordError("not a JSON object")
    cls = SnapshotPart if fields.get("kind") == SNAPSHOT_KIND else Record
    try:
        return structure(fields, cls)
    except CheckError as error:
        invalid_field = error.invalid_fields[0]
        return RecordError(invalid_field.message, field=invalid_field.field)
