"""Records of what callers saw and what targets ran."""

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
    """One call as its caller saw it.

    :param mark: unique name of the call, ``CUSTOMER.NUMBER``.
    :param kind: what kind of work, such as ``summary`` or ``publication``.
    :param outcome: ``whole``, ``refused``, ``cut`` or ``wrong``.
    :param ran: what a refusal said about running.
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
    """A line of a target's own record."""

    target: str
    event: str
    time_ms: int
    fields: dict[str, t.Any]

    @property
    def mark(self) -> str:
        """The mark of the call that it belongs to."""
        return self.fields.get("mark", "")


def read_runs(paths: t.Mapping[str, pathlib.Path]) -> list[RunRecord]:
    """Return the records of targets, in order of time.

    :param paths: record file by target name.
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
