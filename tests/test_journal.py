"""Log output is bounded and never blocks."""

import json
import logging as std_logging
import os

from snipedeal_direct import defaults
from snipedeal_direct.journal import QueueHandler


class FrozenClock:
    def now_ms(self):
        return 5


def make_record(event, **fields):
    record = std_logging.LogRecord("t", std_logging.INFO, "", 0, event, (), None)
    record.fields = fields
    return record


def test_request_lines_are_rate_limited_and_counted():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler = QueueHandler("router-a", FrozenClock(), writer)
    for number in range(defaults.LOG_LINES_PER_S + 50):
        handler.emit(make_record("request.sent", request=f"r{number}"))
    # Lines that name no request are not rate limited.
    handler.emit(make_record("store.lost", detail="x"))
    handler.flush_lines()
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        lines = [json.loads(line) for line in pipe]
    assert handler.dropped == 50
    assert lines[-1]["event"] == "log.dropped"
    assert lines[-1]["total"] == 50
    assert lines[-2]["event"] == "store.lost"
    assert lines[0] == {
        **lines[0],
        "process": "router-a",
        "event": "request.sent",
        "request": "r0",
    }


def test_fields_do_not_replace_the_level_of_a_line():
    handler = QueueHandler("router-a", FrozenClock())
    line = handler._format_line(make_record("x"), {"level": 5, "process": "y"})
    assert json.loads(line)["level"] == "info"
    assert json.loads(line)["process"] == "router-a"


def test_full_standard_output_does_not_block():
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    handler = QueueHandler("router-a", FrozenClock(), writer)
    for number in range(30 * defaults.LOG_QUEUE_LINES):
        handler.emit(make_record("target.listed", target=f"t{number}"))
        if number % 500 == 0:
            handler.flush_lines()
    assert handler.dropped > 0
    os.close(reader)
    handler.flush_lines()
    os.close(writer)


def test_lines_that_wait_are_bounded_by_their_size():
    """Guards against identifiers of callers that fill the queue of lines."""
    handler = QueueHandler("router-a", FrozenClock())
    for _ in range(defaults.LOG_LINES_PER_S):
        handler.emit(make_record("request.refused", request="i" * 16_000))
    held = sum(map(len, handler._lines))
    assert held < defaults.LOG_LINES_PER_S * 2 * defaults.LOG_FIELD_CHARS
