"""Provide HTTP clients for the platform's log service and VM list.

``POST /streams/NAME/records`` appends the request body as a record and returns
``{"offset": N}``. ``GET /streams/NAME/records`` is a long poll with the parameters
``from``, ``limit`` and ``wait_ms`` and returns ``start``, ``next`` and ``records``.
``GET /vms`` returns the VM list and supports conditional requests by ``ETag``.
"""

import asyncio
import re
import typing as t

import aiohttp
import attrs
import msgspec
from absl import logging

from snipedeal import defaults
from snipedeal.bodies import read_body
from snipedeal.buffers import BufferBudget
from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import decode
from snipedeal.decoding import is_name
from snipedeal.decoding import split_array
from snipedeal.decoding import split_endpoint
from snipedeal.exceptions import LogBusyError
from snipedeal.exceptions import LogUnavailableError
from snipedeal.exceptions import PlatformError
from snipedeal.exceptions import UnreadableError
from snipedeal.membership import Vm
from snipedeal.membership import VmList

_HTTP_OK = 200
_HTTP_TOO_MANY_REQUESTS = 429
_HTTP_NOT_MODIFIED = 304
#: Unreadable entries of the VM list that are described in the log.
_ENTRIES_LOGGED = 5
_TIME = re.compile(r"[0-9]{1,15}")
_vm_decoder = msgspec.json.Decoder(Vm)


@attrs.frozen
class LogRecord:
    """One record of a log stream."""

    offset: int
    data: str


@attrs.frozen
class LogBatch:
    """Consecutive records of a log stream.

    :param start: oldest offset that the log still retains.
    :param next: offset after the newest record.
    :param records: the records, oldest first.
    """

    start: int
    next: int
    records: list[LogRecord]


@attrs.frozen
class _AppendResponse:
    offset: int


class LogClient:
    """Append records to and read records from the log service.

    :param url: base URL of the service.
    :param session: the HTTP client session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._budget = _make_budget()

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: the call failed; the record may still have been
            appended.
        :raises LogBusyError: the service rejected the call for its rate; nothing
            was appended.
        """
        timeout = aiohttp.ClientTimeout(total=defaults.LOG_APPEND_TIMEOUT_MS / 1000)
        url = f"{self._url}/streams/{stream}/records"
        body = await self._request("append", "POST", url, timeout, data=data.encode())
        return _decode(body, _AppendResponse, "append").offset

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> LogBatch:
        """Read records starting at an offset.

        :param offset: offset of the first record to read.
        :param wait_ms: longest time that the service holds the request open while
            there is no new record.
        :raises LogUnavailableError: no response in time, or an error status.
        :raises PlatformError: the response can't be decoded.
        """
        total_s = (defaults.LOG_READ_TIMEOUT_MS + wait_ms) / 1000
        timeout = aiohttp.ClientTimeout(total=total_s)
        url = f"{self._url}/streams/{stream}/records"
        params = {
            "from": str(offset),
            "limit": str(defaults.LOG_READ_LIMIT_RECORDS),
            "wait_ms": str(wait_ms),
        }
        body = await self._request("read", "GET", url, timeout, params=params)
        return _decode(body, LogBatch, "read")

    async def _request(
        self,
        step: str,
        method: str,
        url: str,
        timeout: aiohttp.ClientTimeout,
        **options: t.Any,
    ) -> bytes:
        try:
            request = self._session.request(method, url, timeout=timeout, **options)
            async with request as response:
                body = await read_body(
                    response, defaults.LOG_BODY_LIMIT_BYTES, self._budget
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogUnavailableError(
                f"log service request failed: {error or type(error).__name__}",
                step,
                self._url,
            ) from error
        if response.status == _HTTP_TOO_MANY_REQUESTS:
            raise LogBusyError(
                "log service rejected the call: rate limit exceeded", step, self._url
            )
        if response.status != _HTTP_OK:
            raise LogUnavailableError(
                f"log service returned HTTP status {response.status}", step, self._url
            )
        return body


def _make_budget() -> BufferBudget:
    return BufferBudget(defaults.PLATFORM_READ_BYTES, defaults.PLATFORM_READ_BYTES_EACH)


class VmListClient:
    """Read the platform's VM list.

    :param url: base URL of the service.
    :param session: the HTTP client session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._budget = _make_budget()
        self._etag = ""
        self._cached: VmList | None = None

    async def read(self) -> VmList:
        """Return the list and the platform time at which it was current.

        :raises PlatformError: no response in time, or one that can't be decoded.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        timeout = aiohttp.ClientTimeout(total=defaults.VM_LIST_POLL_MS / 1000)
        try:
            request = self._session.get(
                f"{self._url}/vms", headers=headers, timeout=timeout
            )
            async with request as response:
                body = await read_body(
                    response, defaults.VM_LIST_LIMIT_BYTES, self._budget
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(
                f"VM list request failed: {error or type(error).__name__}",
                "vm-list",
                self._url,
            ) from error
        as_of_ms = _parse_time_ms(response.headers.get("X-As-Of-Ms", "0"))
        if response.status == _HTTP_NOT_MODIFIED and self._cached is not None:
            return attrs.evolve(self._cached, as_of_ms=as_of_ms)
        if response.status != _HTTP_OK:
            raise PlatformError(
                f"VM list returned HTTP status {response.status}", "vm-list", self._url
            )
        vms, unreadable = decode_vms(body)
        if unreadable:
            # Logged once a version of the list: an unchanged one is not sent again.
            logging.warning(
                "%d entries of the VM list can't be decoded: %s",
                len(unreadable),
                "; ".join(unreadable[:_ENTRIES_LOGGED]),
            )
        self._etag = response.headers.get("ETag", "")
        self._cached = VmList(as_of_ms, vms)
        return self._cached


async def read_to_end(
    log: LogClient,
    stream: str,
    next_offset: t.Callable[[], int],
    on_batch: t.Callable[[LogBatch], None],
) -> None:
    """Read a stream to its current end, for decisions that need every record.

    :param log: client of the log service.
    :param stream: name of the stream.
    :param next_offset: returns the offset to read from.
    :param on_batch: called with every batch, including the empty last one.
    :raises LogUnavailableError: a read failed.
    """
    while True:
        batch = await log.read(stream, next_offset())
        on_batch(batch)
        if not batch.records:
            return


async def follow_stream(
    log: LogClient,
    stream: str,
    next_offset: t.Callable[[], int],
    on_batch: t.Callable[[LogBatch], None],
    on_error: t.Callable[[PlatformError], None],
) -> None:
    """Read a stream indefinitely and retry failed reads.

    Reads are long polls; until one has succeeded, they return at once.

    :param log: client of the log service.
    :param stream: name of the stream.
    :param next_offset: returns the offset to read from.
    :param on_batch: called with every batch, including empty ones.
    :param on_error: called with the error of every failed read.
    """
    previous_offset = -1
    while True:
        offset = next_offset()
        wait_ms = 0 if previous_offset < 0 else defaults.LOG_POLL_WAIT_MS
        try:
            batch = await log.read(stream, offset, wait_ms)
        except PlatformError as error:
            on_error(error)
            await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
            continue
        previous_offset = offset
        on_batch(batch)


def decode_vms(body: bytes) -> tuple[list[Vm], list[str]]:
    """Return the entries of a VM list, and what is wrong with each unreadable one.

    :raises PlatformError: the body is not a JSON array.
    """
    try:
        entries = split_array(body)
    except UnreadableError as error:
        raise PlatformError(error.message, "vm-list") from error
    vms, unreadable = [], []
    for entry in entries:
        try:
            vms.append(_decode_vm(entry))
        except UnreadableError as error:
            unreadable.append(error.message)
    return vms, unreadable


def _decode_vm(entry: bytes) -> Vm:
    vm = decode(_vm_decoder.decode, entry)
    if not is_name(vm.name):
        raise UnreadableError(f"{vm.name[:80]!r} is no name", "vm-list")
    scheme, separator, endpoint = vm.address.partition("://")
    if not scheme or not separator:
        raise UnreadableError(f"{vm.address[:80]!r} is no address", "vm-list")
    split_endpoint(endpoint)
    if vm.http:
        split_endpoint(vm.http)
    return vm


def _parse_time_ms(text: str) -> int:
    """Return the platform's time in a header.

    :raises PlatformError: it is no time in milliseconds.
    """
    if not _TIME.fullmatch(text):
        raise PlatformError(f"{text[:80]!r} is no time", "vm-list")
    return int(text)


def _decode(body: bytes, cls: t.Any, step: str) -> t.Any:
    try:
        return msgspec.json.decode(body, type=cls)
    except DECODING_ERRORS as error:
        raise PlatformError(f"response can't be decoded: {error}", step) from error
