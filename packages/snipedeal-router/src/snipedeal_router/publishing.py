"""Validate and publish configuration records."""

import asyncio
import json
import pathlib

import attrs

from snipedeal import defaults
from snipedeal.checking import unstructure
from snipedeal.configuration import ACCEPTED
from snipedeal.configuration import Applied
from snipedeal.configuration import Configuration
from snipedeal.decoding import parse_json
from snipedeal.exceptions import LogBusyError
from snipedeal.exceptions import LogUnavailableError
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import UnreadableError
from snipedeal.platform import LogClient
from snipedeal.records import SNAPSHOT_KIND
from snipedeal.records import Record
from snipedeal.records import SnapshotPart
from snipedeal.records import StoredObject
from snipedeal.records import check_record
from snipedeal.records import parse_record
from snipedeal.utils import new_id

#: Attempts at an append that the log service's rate limit rejects. The limit
#: applies to each second; attempts are LOG_RETRY_MS apart.
_APPEND_ATTEMPTS = 20
_READ_ATTEMPTS = 20


@attrs.frozen
class InvalidRecord:
    """An invalid record of a file.

    :param number: index of the record in the file, from zero.
    :param field: dotted path of the invalid field.
    """

    number: int
    field: str
    message: str


@attrs.frozen
class Published:
    """Result of publishing a record.

    :param is_accepted: whether the record is in effect.
    :param offset: offset of the record in the log.
    :param reason: why the record was rejected.
    """

    kind: str
    name: str
    is_accepted: bool
    offset: int
    reason: str


def read_records(path: str) -> tuple[list[Record], list[InvalidRecord]]:
    """Return the valid records of a file and the problems of the others.

    :param path: a JSON file with one record or an array of them. A record may
        omit ``id`` and ``base_revision``.
    :raises RecordError: the file can't be read or is not valid JSON.
    """
    try:
        data = parse_json(pathlib.Path(path).read_bytes())
    except (OSError, UnreadableError) as error:
        raise RecordError(f"{path}: {error}") from error
    items = data if isinstance(data, list) else [data]
    records: list[Record] = []
    problems: list[InvalidRecord] = []
    for number, item in enumerate(items):
        try:
            records.append(_read_record(item))
        except RecordError as error:
            problems.append(InvalidRecord(number, error.field, error.message))
    return records, problems


class Publisher:
    """Publish records one at a time, reading each record of the stream only once.

    :param log: the log service.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._configuration = Configuration()
        self._next_offset = 0
        self._applied: dict[int, Applied] = {}
        self._offsets_by_id: dict[str, int] = {}

    async def publish(self, record: Record, replace: bool) -> Published:
        """Append a record and return whether it was accepted.

        :param replace: base the record on the object's current revision instead of
            the revision given in the record.
        :raises LogUnavailableError: the outcome is unknown; the record may or may
            not be in the log.
        :raises RecordError: the log no longer retains the whole configuration.
        """
        await self._read_to_end()
        if not self._configuration.is_complete:
            raise RecordError(
                "the log no longer holds the whole configuration; see 'restore'"
            )
        if replace:
            current = self._configuration.revision(record.kind, record.name)
            record = attrs.evolve(record, base_revision=current)
        offset = await self._append_or_find(record)
        await self._read_through(offset)
        applied = self._applied[offset]
        return Published(
            record.kind,
            record.name,
            applied.status == ACCEPTED,
            offset,
            applied.reason,
        )

    async def restore(self, records: list[Record]) -> int:
        """Append a snapshot after the log has lost part of the configuration.

        :param records: all objects that are to be in effect.
        :return: offset of the snapshot's last part.
        :raises RecordError: the log still retains the whole configuration, or the
            stream is empty.
        """
        await self._read_to_end()
        if self._configuration.is_complete:
            raise RecordError("the log holds the whole configuration")
        covers = self._next_offset - 1
        restored = Configuration()
        if not restored.load_newer_snapshot(_as_snapshot(records, covers)):
            raise RecordError("the stream is empty; publish the records instead")
        offset = covers
        for text in restored.snapshot(new_id("restore")):
            offset = await self._log.append(defaults.CONFIG_STREAM, text)
        return offset

    async def _read_to_end(self) -> None:
        """Read and apply the stream up to its end."""
        while True:
            batch = await self._log.read(defaults.CONFIG_STREAM, self._next_offset)
            self._configuration.set_log_start(batch.start)
            for item in batch.records:
                applied = self._configuration.apply(item.offset, item.data)
                self._applied[item.offset] = applied
                self._offsets_by_id[applied.id] = item.offset
                self._next_offset = item.offset + 1
            if not batch.records:
                # If retention deleted all records, the next offset of the stream is
                # still above zero.
                self._next_offset = max(self._next_offset, batch.next)
            if self._next_offset >= batch.next:
                return

    async def _read_through(self, offset: int) -> None:
        while offset not in self._applied:
            before = self._next_offset
            await self._read_to_end()
            if self._next_offset == before:
                raise LogUnavailableError("the record can't be read back", "publish")

    async def _append_or_find(self, record: Record) -> int:
        """Append a record; if the response was lost, find the record by its id."""
        text = json.dumps(unstructure(record))
        try:
            return await self._append_with_retries(text)
        except LogBusyError:
            raise
        except LogUnavailableError as error:
            await self._read_with_retries()
            if record.id not in self._offsets_by_id:
                raise error
            return self._offsets_by_id[record.id]

    async def _append_with_retries(self, text: str) -> int:
        """Append, retrying while the log service's rate limit rejects the call.

        :raises LogBusyError: the last attempt was rejected too; nothing was
            appended.
        """
        for _ in range(_APPEND_ATTEMPTS - 1):
            try:
                return await self._log.append(defaults.CONFIG_STREAM, text)
            except LogBusyError:
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
        return await self._log.append(defaults.CONFIG_STREAM, text)

    async def _read_with_retries(self) -> None:
        for _ in range(_READ_ATTEMPTS):
            try:
                await self._read_to_end()
                return
            except LogUnavailableError:
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)


def _as_snapshot(records: list[Record], covers: int) -> list[str]:
    """Return the record texts of a snapshot that contains the records' objects."""
    objects = [
        StoredObject(
            record.kind,
            record.name,
            covers,
            record.schema_version,
            record.spec,
            record.schema_version,
            record.spec,
        )
        for record in records
    ]
    part = SnapshotPart(1, new_id("file"), SNAPSHOT_KIND, covers, 0, 1, objects)
    return [json.dumps(unstructure(part))]


def _read_record(item: object) -> Record:
    if isinstance(item, dict):
        item = {"id": new_id("rec"), "base_revision": None, "author": "", **item}
    record = parse_record(json.dumps(item))
    check_record(record)
    return record
