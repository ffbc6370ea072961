"""Records of what callers received and what targets executed."""

import json
import pathlib
import typing as t

import attrs

WHOLE = "whole"
REFUSED = "refused"
CUT = "cut"
WRONG = "wrong"


@attrs.define
class CallRecord:
    """One call as its caller observed it.

    Times are wall-clock milliseconds, 0 for what did not happen.

    :param mark: unique id of the call, ``CUSTOMER.NUMBER``.
    :param kind: kind of work, such as ``summary`` or ``publication``.
    :param router: base URL of the router that was called.
    :param key: idempotency key, empty for none.
    :param first_ms: arrival of the first content.
    :param outcome: ``whole`` for a complete correct answer, ``refused`` for an
        error answer, ``cut`` for a broken connection or an incomplete stream,
        ``wrong`` for a malformed answer or another call's answer.
    :param ran: what a refusal states: ``not_run`` or ``may_have_run``.
    :param code: error code of a refusal.
    """

    mark: str
    customer: str
    service: str
    kind: str
    router: str
    sent_ms: int
    key: str = ""
    is_streamed: bool = False
    is_replayed: bool = False
    first_ms: int = 0
    done_ms: int = 0
    status: int = 0
    outcome: str = ""
    ran: str = ""
    code: str = ""
    tokens: int = 0
    request_id: str = ""
    detail: str = ""


@attrs.frozen
class RunRecord:
    """An event from the event log that a target writes."""

    target: str
    event: str
    time_ms: int
    fields: dict[str, t.Any]

    @property
    def mark(self) -> str:
        """The id of the call that the event belongs to."""
        return self.fields.get("mark", "")


def read_runs(paths: t.Mapping[str, pathlib.Path]) -> list[RunRecord]:
    """Return the events of all targets in order of time.

    :param paths: event log by target name; missing files are skipped.
    """
    runs: list[RunRecord] = []
    for target, path in paths.items():
        if not path.exists():
            continue
        for line in path.read_text(encoding="utf-8").splitlines():
            fields = json.loads(line)
            runs.append(
                RunRecord(target, fields.pop("event"), fields.pop("time_ms"), fields)
            )
    return sorted(runs, key=lambda run: run.time_ms)
