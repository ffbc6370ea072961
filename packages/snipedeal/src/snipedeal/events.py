"""Events of one process, kept in a ring and written to the log.

The stamps of the hybrid logical clock order the events of all processes, so
that the time line of a fleet is a sorted union of the rings.
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
    """Something that happened in a process.

    :param wall_ms: hybrid logical clock, wall part.
    :param counter: hybrid logical clock, counter part.
    :param process: name of the process.
    :param name: kind of event, such as ``request.dispatched``.
    :param request: request identifier, empty where it concerns none.
    :param fields: further values, small and printable.
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
    :param clock: the clock that stamps them.
    """

    def __init__(self, process: str, clock: HybridClock) -> None:
        self._process = process
        self._clock = clock
        self._ring: collections.deque[Event] = collections.deque(
            maxlen=defaults.EVENT_RING_SIZE
        )

    def __len__(self) -> int:
        return len(self._ring)

    def add(self, name: str, request: str = "", **fields: t.Any) -> None:
        """Record an event now.

        :param name: kind of event.
        :param request: identifier of the request that it concerns.
        :param fields: further values.
        """
        wall_ms, counter = self._clock.tick()
        event = Event(wall_ms, counter, self._process, name, request, fields)
        self._ring.append(event)
        if logging.vlog_is_on(0):
            logging.info("%s", name, extra={"event": event})

    def dump(self) -> str:
        """Return the ring as a JSON array, oldest first."""
        return json.dumps([attrs.asdict(event) for event in self._ring])


def merge(dumps: t.Iterable[str]) -> list[Event]:
    """Return the events of many processes in order.

    :param dumps: JSON arrays from :meth:`EventLog.dump`.
    """
    events = [Event(**fields) for dump in dumps for fields in json.loads(dump)]
    unique = {(e.process, e.wall_ms, e.counter): e for e in events}
    return sorted(unique.values(), key=lambda e: (e.wall_ms, e.counter, e.process))


def to_trace(events: t.Sequence[Event]) -> str:
    """Return events as trace-event JSON, which common viewers open.

    Each process is a row; a request's events are joined by one colour and an
    asynchronous span from its first to its last event.

    :param events: events in order.
    """
    processes = sorted({event.process for event in events})
    numbers = {name: number for number, name in enumerate(processes, start=1)}
    entries: list[dict[str, t.Any]] = [
        {
            "ph": "M",
            "name": "process_name",
            "pid": number,
            "args": {"name": name},
        }
        for name, number in numbers.items()
    ]
    spans: dict[tuple[int, str], list[Event]] = {}
    for event in events:
        number = numbers[event.process]
        entries.append(_instant(event, number))
        if event.request:
            spans.setdefault((number, event.request), []).append(event)
    for (number, request), members in spans.items():
        entries.extend(_span(number, request, members))
    return json.dumps({"traceEvents": entries, "displayTimeUnit": "ms"})


def to_text(events: t.Iterable[Event]) -> str:
    """Return events as lines for reading.

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


def _instant(event: Event, number: int) -> dict[str, t.Any]:
    return {
        "ph": "i",
        "s": "p",
        "name": event.name,
        "ts": event.wall_ms * 1000 + event.counter,
        "pid": number,
        "tid": 1,
        "args": {"request": event.request, **event.fields},
    }


def _span(number: int, request: str, members: list[Event]) -> list[dict[str, t.Any]]:
    common = {"cat": "request", "name": request, "id": request, "pid": number}
    return [
        {"ph": "b", "tid": 1, "ts": members[0].wall_ms * 1000, **common},
        {"ph": "e", "tid": 1, "ts": members[-1].wall_ms * 1000 + 1, **common},
    ]
