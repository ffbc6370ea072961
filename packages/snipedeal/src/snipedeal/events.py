"""Record the events of a process in a ring buffer and in its log.

Hybrid logical clock timestamps order the events of all processes, so that the
timeline of a fleet is the sorted union of the processes' buffers.
"""

import collections
import json
import typing as t

import attrs
from absl import logging

from snipedeal import defaults
from snipedeal.clock import HybridClock


@attrs.frozen
class Event:
    """An event in a process.

    :param wall_ms: wall part of the hybrid logical clock, in milliseconds.
    :param counter: counter part of the hybrid logical clock.
    :param process: name of the process.
    :param name: event type, such as ``request.dispatched``.
    :param request: request identifier, empty if the event concerns no request.
    :param fields: further values, small and JSON-serializable.
    """

    wall_ms: int
    counter: int
    process: str
    name: str
    request: str = ""
    fields: dict[str, t.Any] = attrs.Factory(dict)


class EventLog:
    """Record the events of a process.

    :param process: name of the process.
    :param clock: clock that provides the timestamps.
    """

    def __init__(self, process: str, clock: HybridClock) -> None:
        self._process = process
        self._clock = clock
        self._buffer: collections.deque[Event] = collections.deque(
            maxlen=defaults.EVENT_RING_SIZE
        )

    def __len__(self) -> int:
        return len(self._buffer)

    def add(self, name: str, request: str = "", **fields: t.Any) -> None:
        """Record an event with the current time.

        :param name: event type.
        :param request: identifier of the request concerned, if any.
        :param fields: further values.
        """
        wall_ms, counter = self._clock.tick()
        event = Event(wall_ms, counter, self._process, name, request, fields)
        self._buffer.append(event)
        if logging.vlog_is_on(0):
            logging.info("%s", name, extra={"event": event})

    def dump(self) -> str:
        """Return the buffered events as a JSON array, oldest first."""
        return json.dumps([attrs.asdict(event) for event in self._buffer])


def merge_dumps(dumps: t.Iterable[str]) -> list[Event]:
    """Merge the events of several processes and remove duplicates.

    :param dumps: JSON arrays from :meth:`EventLog.dump`.
    """
    events = [Event(**fields) for dump in dumps for fields in json.loads(dump)]
    unique = {(e.process, e.wall_ms, e.counter): e for e in events}
    return sorted(unique.values(), key=lambda e: (e.wall_ms, e.counter, e.process))


def to_trace_json(events: t.Sequence[Event]) -> str:
    """Convert events to Trace Event Format JSON, which Chrome and Perfetto open.

    Each process is a row. In each process, an asynchronous span joins the first
    and last event of a request.

    :param events: events in order.
    """
    processes = sorted({event.process for event in events})
    pids = {name: pid for pid, name in enumerate(processes, start=1)}
    entries: list[dict[str, t.Any]] = [
        {
            "ph": "M",
            "name": "process_name",
            "pid": pid,
            "args": {"name": name},
        }
        for name, pid in pids.items()
    ]
    spans: dict[tuple[int, str], list[Event]] = {}
    for event in events:
        pid = pids[event.process]
        entries.append(_instant_entry(event, pid))
        if event.request:
            spans.setdefault((pid, event.request), []).append(event)
    for (pid, request), span_events in spans.items():
        entries.extend(_span_entries(pid, request, span_events))
    return json.dumps({"traceEvents": entries, "displayTimeUnit": "ms"})


def to_text(events: t.Iterable[Event]) -> str:
    """Format events as text, one per line.

    :param events: events in order.
    """
    lines = []
    for event in events:
        fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
        stamp = f"{event.wall_ms}.{event.counter:03d}"
        lines.append(
            f"{stamp} {event.process:<18} {event.name:<24} {event.request} {fields}"
        )
    return "\n".join(line.rstrip() for line in lines) + "\n"


def _instant_entry(event: Event, pid: int) -> dict[str, t.Any]:
    return {
        "ph": "i",
        "s": "p",
        "name": event.name,
        "ts": event.wall_ms * 1000 + event.counter,
        "pid": pid,
        "tid": 1,
        "args": {"request": event.request, **event.fields},
    }


def _span_entries(
    pid: int, request: str, span_events: list[Event]
) -> list[dict[str, t.Any]]:
    common = {"cat": "request", "name": request, "id": request, "pid": pid}
    return [
        {"ph": "b", "tid": 1, "ts": span_events[0].wall_ms * 1000, **common},
        {"ph": "e", "tid": 1, "ts": span_events[-1].wall_ms * 1000 + 1, **common},
    ]
