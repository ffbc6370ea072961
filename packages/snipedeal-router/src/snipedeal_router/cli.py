"""Command line of ``snipedeal``: the router and the operators' commands.

Exit status of every command: 0 success, 1 failure or rejection, 2 invalid input.
"""

import asyncio
import pathlib
import sys
import typing as t

import aiohttp
import defopt

from snipedeal import events
from snipedeal.exceptions import PlatformError
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import SettingsError
from snipedeal.logs import set_up_logs
from snipedeal.placement import PLACEMENTS
from snipedeal.platform import LogClient
from snipedeal.settings import RouterSettings
from snipedeal.settings import load_settings
from snipedeal_router import fleet
from snipedeal_router import publishing
from snipedeal_router.serve import serve

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INPUT = 2


def router(settings: str) -> int:
    """Run a router until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 on a failure or if work was
    cut off by a second SIGTERM or the time limit, 2 if the settings are invalid.

    :param settings: JSON file with the router's settings.
    """
    try:
        loaded = load_settings(settings, RouterSettings)
        if loaded.placement not in PLACEMENTS:
            names = ", ".join(PLACEMENTS)
            raise SettingsError(
                f"{settings}: placement: {loaded.placement!r} is not one of {names}"
            )
    except SettingsError as error:
        print(error.message, file=sys.stderr)
        return EXIT_INPUT
    set_up_logs(loaded.node.name, loaded.node.log_level)
    return asyncio.run(serve(loaded))


def check(records: str) -> int:
    """Validate a file of configuration records without publishing it.

    Exit status: 0 if all records are valid, 2 otherwise.

    :param records: JSON file with one record or an array of them.
    """
    try:
        valid, problems = publishing.read_records(records)
    except RecordError as error:
        print(error.message, file=sys.stderr)
        return EXIT_INPUT
    for problem in problems:
        print(
            f"{records}: record {problem.number}: {problem.field}: {problem.message}",
            file=sys.stderr,
        )
    print(f"{len(valid)} acceptable, {len(problems)} not")
    return EXIT_INPUT if problems else EXIT_OK


def publish(records: str, *, log_url: str, replace: bool = False) -> int:
    """Publish configuration records to the platform's log service.

    Exit status: 0 if all were accepted, 1 if one was rejected or the log
    service did not respond, 2 if the file is invalid; then nothing was sent.

    :param records: JSON file with one record or an array of them.
    :param log_url: base URL of the log service.
    :param replace: base each record on the object's current revision instead
        of the revision given in the file.
    """
    try:
        valid, problems = publishing.read_records(records)
    except RecordError as error:
        print(error.message, file=sys.stderr)
        return EXIT_INPUT
    if problems:
        return check(records)
    return asyncio.run(_publish_all(valid, log_url, replace))


def restore(records: str, *, log_url: str) -> int:
    """Restore the configuration after the log has lost part of it.

    That happens if no router is up for longer than the log's retention time.
    Exit status: 0 on success, 1 if the log still retains the whole configuration
    or did not respond, 2 if the file is invalid.

    :param records: JSON file with all records that are to be in effect.
    :param log_url: base URL of the log service.
    """
    try:
        valid, problems = publishing.read_records(records)
    except RecordError as error:
        print(error.message, file=sys.stderr)
        return EXIT_INPUT
    if problems:
        return check(records)
    return asyncio.run(_restore(valid, log_url))


def status(*, vm_list_url: str) -> int:
    """Show the configuration offset and state of each process of the fleet.

    Exit status: 0 if every process responded, 1 otherwise.

    :param vm_list_url: base URL of the platform's VM list.
    """
    try:
        replies = asyncio.run(fleet.fetch_all(vm_list_url, "/status"))
    except PlatformError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    print(fleet.status_table(replies))
    return EXIT_FAILED if any(reply.error for reply in replies) else EXIT_OK


def timeline(
    *, vm_list_url: str, out: str, text: bool = False, request: str = ""
) -> int:
    """Write one timeline with the events of all processes.

    The file is trace-event JSON, which common trace viewers open.
    Exit status: 0 if every process responded, 1 otherwise; the file then contains
    the events of those that did.

    :param vm_list_url: base URL of the platform's VM list.
    :param out: file to write.
    :param text: write plain text instead, one line for each event.
    :param request: write only the events of the request with this ID.
    """
    try:
        replies = asyncio.run(fleet.fetch_all(vm_list_url, "/events"))
    except PlatformError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    merged = events.merge_dumps(reply.text for reply in replies if not reply.error)
    if request:
        merged = [event for event in merged if event.request == request]
    rendered = events.to_text(merged) if text else events.to_trace_json(merged)
    pathlib.Path(out).write_text(rendered, encoding="utf-8")
    unanswered = [reply.vm.name for reply in replies if reply.error]
    print(
        f"{len(merged)} events of {len(replies) - len(unanswered)} processes in {out}"
    )
    for name in unanswered:
        print(f"no answer from {name}", file=sys.stderr)
    return EXIT_FAILED if unanswered else EXIT_OK


async def _publish_all(
    records: t.Sequence[publishing.Record], log_url: str, replace: bool
) -> int:
    result = EXIT_OK
    async with aiohttp.ClientSession() as session:
        publisher = publishing.Publisher(LogClient(log_url, session))
        for record in records:
            try:
                published = await publisher.publish(record, replace)
            except RecordError as error:
                print(f"{record.kind} {record.name}: {error}", file=sys.stderr)
                return EXIT_FAILED
            except PlatformError as error:
                print(f"{record.kind} {record.name}: unknown: {error}", file=sys.stderr)
                return EXIT_FAILED
            if published.is_accepted:
                print(
                    f"{published.kind} {published.name}: "
                    f"accepted at offset {published.offset}"
                )
            else:
                print(
                    f"{published.kind} {published.name}: "
                    f"rejected at offset {published.offset}: {published.reason}"
                )
                result = EXIT_FAILED
    return result


async def _restore(records: t.Sequence[publishing.Record], log_url: str) -> int:
    async with aiohttp.ClientSession() as session:
        publisher = publishing.Publisher(LogClient(log_url, session))
        try:
            offset = await publisher.restore(list(records))
        except (PlatformError, RecordError) as error:
            print(error, file=sys.stderr)
            return EXIT_FAILED
    print(f"{len(records)} objects restored at offset {offset}")
    return EXIT_OK


def main() -> None:
    """Run the command line."""
    commands = [router, check, publish, restore, status, timeline]
    sys.exit(defopt.run(commands))


if __name__ == "__main__":
    main()
