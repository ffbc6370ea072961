"""Write JSON log lines to standard output without blocking."""

import asyncio
import collections
import json
import logging as std_logging
import os
import typing as t

from absl import logging

from snipedeal.clock import Clock
from snipedeal_direct import defaults


class QueueHandler(std_logging.Handler):
    """Queue log lines until they are flushed; drop and count the excess.

    All lines are dropped while the queue is full; lines that name a request are
    also dropped above a rate limit.

    :param process: name of the process, written in each line.
    :param descriptor: file descriptor to write to.
    """

    def __init__(self, process: str, clock: Clock, descriptor: int = 1) -> None:
        super().__init__()
        self.dropped = 0
        self._process = process
        self._clock = clock
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._window_ms = 0.0
        self._window_lines = 0
        self._reported_dropped = 0

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue the line of a record."""
        fields = getattr(record, "fields", None)
        names_request = fields is not None and "request" in fields
        is_over_rate = self.is_over_rate() and names_request
        if is_over_rate or len(self._lines) >= defaults.LOG_QUEUE_LINES:
            self.dropped += 1
            return
        self._window_lines += 1
        self._lines.append(self._format_line(record, fields))

    def is_over_rate(self, lines_per_s: int = defaults.LOG_LINES_PER_S) -> bool:
        """Return whether a line that names a request would be dropped now.

        :param lines_per_s: lines in this second from which on it is.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._window_ms >= 1000:
            self._window_ms = now_ms
            self._window_lines = 0
        return self._window_lines >= lines_per_s

    def flush_lines(self) -> None:
        """Write queued lines until the descriptor would block."""
        if self.dropped != self._reported_dropped:
            self._reported_dropped = self.dropped
            line: dict[str, t.Any] = {"process": self._process, "event": "log.dropped"}
            line["total"] = self.dropped
            self._lines.append(json.dumps(line).encode() + b"\n")
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Standard output is closed, so the error can't be logged. All lines
                # of this write are counted as one dropped line.
                self.dropped += 1
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _format_line(
        self, record: std_logging.LogRecord, fields: dict[str, t.Any] | None
    ) -> bytes:
        common: dict[str, t.Any] = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "process": self._process,
            "event": record.getMessage(),
        }
        # The common keys win, so that no field can replace, for example, the level.
        line = common | {key: _cut(value) for key, value in (fields or {}).items()}
        line |= common
        if record.exc_info:
            formatter = std_logging.Formatter()
            line["error"] = formatter.formatException(record.exc_info)
        return json.dumps(line, default=str).encode() + b"\n"


def _cut(value: t.Any) -> t.Any:
    """Bound a text; callers choose the IDs of requests."""
    if isinstance(value, str) and len(value) > defaults.LOG_FIELD_CHARS:
        return value[: defaults.LOG_FIELD_CHARS] + "..."
    return value


class LogWriter:
    """Route all logs of the process to standard output, as JSON lines.

    :param process: name of the process.
    :param level: least severe level that is logged, as an ``absl`` verbosity.
    """

    def __init__(self, process: str, level: int, clock: Clock) -> None:
        self._handler = QueueHandler(process, clock)
        self._task: asyncio.Task[None] | None = None
        self._level = level

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped."""
        return self._handler.dropped

    def drops_request_line(self, lines_per_s: int = defaults.LOG_LINES_PER_S) -> bool:
        """Return whether a line that names a request would be dropped; count it then.

        This saves the time to build a line that would not be written.

        :param lines_per_s: lines in this second from which on it is dropped.
        """
        is_dropped = self._handler.is_over_rate(lines_per_s)
        self._handler.dropped += is_dropped
        return is_dropped

    def start(self) -> None:
        """Replace the handlers of the root and ``absl`` loggers; start flushing."""
        os.set_blocking(1, False)
        logging.use_absl_handler()
        logger = logging.get_absl_logger()
        logger.handlers = [self._handler]
        logger.propagate = False
        root = std_logging.getLogger()
        root.handlers = [self._handler]
        logging.set_verbosity(self._level)
        std_logging.getLogger("asyncio").setLevel(std_logging.WARNING)
        self._task = asyncio.create_task(self._run(), name="journal")

    async def close(self) -> None:
        """Stop the flush task and write the queued lines."""
        if self._task is not None:
            self._task.cancel()
        self._handler.flush_lines()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(defaults.LOG_FLUSH_MS / 1000)
            self._handler.flush_lines()


def info(event: str, **fields: t.Any) -> None:
    """Log a decision or a change of state, at level INFO.

    :param event: name of the event, dotted.
    :param fields: values that led to it; ``request`` is the ID of the request
        that it concerns.
    """
    _log(std_logging.INFO, event, fields)


def debug(event: str, **fields: t.Any) -> None:
    """Log a frequent, expected event, at level DEBUG."""
    _log(std_logging.DEBUG, event, fields)


def warning(event: str, **fields: t.Any) -> None:
    """Log an unexpected event, at level WARNING."""
    _log(std_logging.WARNING, event, fields)


def _log(level: int, event: str, fields: dict[str, t.Any]) -> None:
    logger = logging.get_absl_logger()
    if logger.isEnabledFor(level):
        logger.log(level, event, extra={"fields": fields})
