"""Clients of the platform's log service and VM list, over HTTP.

The log service offers ``POST /streams/NAME/records`` with the record's text as
body, answering ``{"offset": N}``, and ``GET /streams/NAME/records`` with
``from``, ``limit`` and ``wait_ms``, answering ``start``, ``next`` and
``records``. The VM list offers ``GET /vms`` with an entity tag.
"""

import asyncio
import typing as t

import aiohttp
import attrs
import msgspec

from snipedeal import defaults
from snipedeal.exceptions import LogBusyError
from snipedeal.exceptions import LogUnavailableError
from snipedeal.exceptions import PlatformError
from snipedeal.membership import Vm
from snipedeal.membership import VmList

_HTTP_OK = 200
_HTTP_TOO_MANY = 429
_HTTP_NOT_MODIFIED = 304


@attrs.frozen
class LogRecord:
    """A record of a stream."""

    offset: int
    data: str


@attrs.frozen
class LogBatch:
    """Records of a stream from an offset on.

    :param start: oldest offset that the log still has.
    :param next: offset after the newest record.
    """

    start: int
    next: int
    records: list[LogRecord]


@attrs.frozen
class _AppendAnswer:
    offset: int


class LogClient:
    """Append to and read from the log service.

    :param url: its base URL.
    :param session: the HTTP client session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session

    async def append(self, stream: str, data: str) -> int:
        """Append a record and return its offset.

        :raises LogUnavailableError: no answer; the record may be in the log.
        """
        timeout = aiohttp.ClientTimeout(total=defaults.LOG_APPEND_TIMEOUT_MS / 1000)
        url = f"{self._url}/streams/{stream}/records"
        body = await self._request("append", "POST", url, timeout, data=data.encode())
        return _decode(body, _AppendAnswer, "append").offset

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> LogBatch:
        """Read records from an offset.

        :param offset: the first offset wanted.
        :param wait_ms: how long the service may wait for a new record.
        :raises LogUnavailableError: no answer in time.
        """
        total_s = (defaults.LOG_TIMEOUT_MS + wait_ms) / 1000
        timeout = aiohttp.ClientTimeout(total=total_s)
        url = f"{self._url}/streams/{stream}/records"
        params = {
            "from": str(offset),
            "limit": str(defaults.LOG_READ_LIMIT),
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
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise LogUnavailableError(
                f"log service: {error or type(error).__name__}", step, self._url
            ) from error
        if response.status == _HTTP_TOO_MANY:
            raise LogBusyError("log service is over its rate", step, self._url)
        if response.status != _HTTP_OK:
            raise LogUnavailableError(
                f"log service answered {response.status}", step, self._url
            )
        return body


class VmListClient:
    """Read the platform's VM list.

    :param url: its base URL.
    :param session: the HTTP client session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._etag = ""
        self._last: VmList | None = None

    async def read(self) -> VmList:
        """Return the list, with the time at which the platform holds it true.

        :raises PlatformError: no answer in time.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        timeout = aiohttp.ClientTimeout(total=defaults.VM_LIST_POLL_MS / 1000)
        try:
            request = self._session.get(
                f"{self._url}/vms", headers=headers, timeout=timeout
            )
            async with request as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformError(
                f"VM list: {error or type(error).__name__}", "vm-list", self._url
            ) from error
        as_of_ms = int(response.headers.get("X-As-Of-Ms", "0"))
        if response.status == _HTTP_NOT_MODIFIED and self._last is not None:
            return attrs.evolve(self._last, as_of_ms=as_of_ms)
        if response.status != _HTTP_OK:
            raise PlatformError(
                f"VM list answered {response.status}", "vm-list", self._url
            )
        vms = _decode(body, list[Vm], "vm-list")
        self._etag = response.headers.get("ETag", "")
        self._last = VmList(as_of_ms, vms)
        return self._last


async def read_to_end(
    log: LogClient,
    stream: str,
    next_offset: t.Callable[[], int],
    on_batch: t.Callable[[LogBatch], None],
) -> None:
    """Read a stream until it has nothing more, for a decision that needs all.

    :param next_offset: returns the offset to read from.
    :param on_batch: called with every batch.
    :raises LogUnavailableError: the log service can't be read.
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
    """Read a stream for ever, waiting out the log's failures.

    :param next_offset: returns the offset to read from.
    :param on_batch: called with every batch, also with an empty one.
    :param on_error: called when the log service can't be read.
    """
    offset_before = -1
    while True:
        offset = next_offset()
        wait_ms = 0 if offset_before < 0 else defaults.LOG_POLL_WAIT_MS
        try:
            batch = await log.read(stream, offset, wait_ms)
        except PlatformError as error:
            on_error(error)
            await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
            continue
        offset_before = offset
        on_batch(batch)


def _decode(body: bytes, cls: t.Any, step: str) -> t.Any:
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.MsgspecError as error:
        raise PlatformError(f"answer not understood: {error}", step) from error
