"""Check and publish configuration records."""

import asyncio
import json
import pathlib

import attrs

from snipedeal import defaults
from snipedeal.checking import unstructure
from snipedeal.configuration import ACCEPTED
from snipedeal.configuration import Applied
from snipedeal.configuration import Configuration
from snipedeal.exceptions import LogBusyError
from snipedeal.exceptions import LogUnavailableError
from snipedeal.exceptions import RecordError
from snipedeal.platform import LogClient
from snipedeal.records import SNAPSHOT_KIND
from snipedeal.records import Record
from snipedeal.records import SnapshotPart
from snipedeal.records import StoredObject
from snipedeal.records import check_record
from snipedeal.records import parse_record
from snipedeal.utils import new_id

#: Tries of an append that is turned away for its rate; the service counts a
#: second, and tries are LOG_RETRY_MS apart.
_BUSY_TRIES = 20
_SETTLE_TRIES = 20


@attrs.frozen
class Problem:
    """A record of a file that can't be published.

    :param number: position in the file, from zero.
    """

    number: int
    field: str
    message: str


@attrs.frozen
class Published:
    """What became of a record.

    :param is_accepted: whether it is in force.
    :param offset: its offset in the log, -1 where that is not known.
    """

    kind: str
    name: str
    is_accepted: bool
    offset: int
    reason: str


def read_records(path: str) -> tuple[list[Record], list[Problem]]:
    """Return the records of a file and what is wrong with it.

    :param path: a JSON file with one record or an array of them. A record may
        leave out ``id`` and ``base_revision``.
    :raises RecordError: the file can't be read or is not JSON.
    """
    try:
        data = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise RecordError(f"{path}: {error}") from error
    items = data if isinstance(data, list) else [data]
    records: list[Record] = []
    problems: list[Problem] = []
    for number, item in enumerate(items):
        try:
            records.append(_read_record(item))
        except RecordError as error:
            problems.append(Problem(number, error.field, error.message))
    return records, problems


class Publisher:
    """Publish records one after the other, reading the stream only once.

    :param log: the log service.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._configuration = Configuration()
        self._next = 0
        self._applied: dict[int, Applied] = {}
        self._offsets: dict[str, int] = {}

    async def publish(self, record: Record, is_forced: bool) -> Published:
        """Append a record and say whether it won.

        :param is_forced: replace the current revision, whatever it is.
        :raises LogUnavailableError: the outcome can't be learned; the record
            may or may not be in the log.
        :raises RecordError: the log no longer holds the whole configuration.
        """
        await self._read_on()
        if not self._configuration.is_complete:
            raise RecordError(
                "the log no longer holds the whole configuration; see 'restore'"
            )
        if is_forced:
            current = self._configuration.revision(record.kind, record.name)
            record = attrs.evolve(record, base_revision=current)
        offset = await self._append_once(record)
        await self._read_to(offset)
        applied = self._applied[offset]
        return Published(
            record.kind,
            record.name,
            applied.status == ACCEPTED,
            offset,
            applied.reason,
        )

    async def restore(self, records: list[Record]) -> int:
        """Start the configuration anew where the log lost a part of it.

        :param records: the objects that are to be in force.
        :return: offset of the snapshot's last part.
        :raises RecordError: the log still holds the whole configuration.
        """
        await self._read_on()
        if self._configuration.is_complete:
            raise RecordError("the log holds the whole configuration")
        covers = self._next - 1
        restored = Configuration()
        if not restored.adopt(_as_snapshot(records, covers)):
            raise RecordError("the stream is empty; publish the records instead")
        offset = covers
        for text in restored.snapshot(new_id("restore")):
            offset = await self._log.append(defaults.CONFIG_STREAM, text)
        return offset

    async def _read_on(self) -> None:
        """Read the stream to its end."""
        while True:
            batch = await self._log.read(defaults.CONFIG_STREAM, self._next)
            self._configuration.note_start(batch.start)
            for item in batch.records:
                applied = self._configuration.apply(item.offset, item.data)
                self._applied[item.offset] = applied
                self._offsets[applied.id] = item.offset
                self._next = item.offset + 1
            if not batch.records:
                # an empty stream still has offsets, which retention used up.
                self._next = max(self._next, batch.next)
            if self._next >= batch.next:
                return

    async def _read_to(self, offset: int) -> None:
        while offset not in self._applied:
            before = self._next
            await self._read_on()
            if self._next == before:
                raise LogUnavailableError("the record can't be read back", "publish")

    async def _append_once(self, record: Record) -> int:
        """Append a record; where the answer was lost, look for it by its id."""
        text = json.dumps(unstructure(record))
        try:
            return await self._append_when_free(text)
        except LogBusyError:
            raise
        except LogUnavailableError as error:
            await self._read_when_back()
            if record.id not in self._offsets:
                raise error
            return self._offsets[record.id]

    async def _append_when_free(self, text: str) -> int:
        """Append, waiting while the log service turns calls away for their rate.

        :raises LogBusyError: it still does after the last try; nothing was done.
        """
        for _ in range(_BUSY_TRIES - 1):
            try:
                return await self._log.append(defaults.CONFIG_STREAM, text)
            except LogBusyError:
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
        return await self._log.append(defaults.CONFIG_STREAM, text)

    async def _read_when_back(self) -> None:
        for _ in range(_SETTLE_TRIES):
            try:
                await self._read_on()
                return
            except LogUnavailableError:
                await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)


def _as_snapshot(records: list[Record], covers: int) -> list[str]:
    """Return the text of a snapshot that holds the records' objects."""
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
