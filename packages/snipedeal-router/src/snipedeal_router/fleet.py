"""Fetch the status and events of all processes of a fleet."""

import asyncio
import json
import typing as t

import aiohttp
import attrs

from snipedeal import defaults
from snipedeal.bodies import read_body
from snipedeal.buffers import BufferBudget
from snipedeal.membership import Vm
from snipedeal.platform import VmListClient

_REQUEST_TIMEOUT_S = 3


@attrs.frozen
class Reply:
    """Response of a process, or the reason why there is none.

    :param text: body of the response, empty if there is none.
    :param error: why there is no response, empty if there is one.
    """

    vm: Vm
    text: str
    error: str = ""


async def fetch_all(vm_list_url: str, path: str) -> list[Reply]:
    """Return the replies of all listed processes to a GET request for a path.

    :raises PlatformError: the VM list can't be read.
    """
    async with aiohttp.ClientSession() as session:
        listing = await VmListClient(vm_list_url, session).read()
        vms = [vm for vm in listing.vms if vm.http]
        budget = BufferBudget(
            defaults.FLEET_REPLIES_BYTES, defaults.PLATFORM_READ_BYTES_EACH
        )
        replies = (_fetch(session, vm, path, budget) for vm in vms)
        return list(await asyncio.gather(*replies))


def status_table(replies: t.Sequence[Reply]) -> str:
    """Return a table of the configuration offset and state of each process."""
    header = f"{'process':<16}{'role':<8}{'zone':<12}{'config':>7}  state"
    lines = [header]
    for reply in sorted(replies, key=lambda item: item.vm.name):
        vm = reply.vm
        if reply.error:
            lines.append(
                f"{vm.name:<16}{vm.role:<8}{vm.zone:<12}{'-':>7}  {reply.error}"
            )
            continue
        fields = json.loads(reply.text)
        lines.append(
            f"{vm.name:<16}{vm.role:<8}{vm.zone:<12}"
            f"{fields['config_offset']:>7}  {_state_text(fields)}"
        )
    return "\n".join(lines)


def _state_text(fields: dict[str, t.Any]) -> str:
    notes = []
    if not fields["config_complete"]:
        notes.append("no configuration")
    if fields["log_down"]:
        notes.append("log service is down")
    if fields["closing"]:
        notes.append("closing")
    gate = fields.get("gate")
    if gate:
        notes.append(
            f"gate {gate['state']}, {gate['running']}/{gate['slots']} running, "
            f"{gate['offered']} offered"
        )
    requests = fields.get("requests")
    if requests:
        notes.append(
            f"{requests['open']} open, {sum(requests['queued'].values())} queued"
        )
    for refused in fields["refused_records"]:
        notes.append(
            f"record {refused['offset']} {refused['status']}: "
            f"{refused['field']}: {refused['reason']}"
        )
    return "; ".join(notes)


async def _fetch(
    session: aiohttp.ClientSession, vm: Vm, path: str, budget: BufferBudget
) -> Reply:
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S)
    try:
        async with session.get(f"http://{vm.http}{path}", timeout=timeout) as response:
            body = await read_body(response, defaults.FLEET_REPLY_LIMIT_BYTES, budget)
            # All replies are kept until the last one has come.
            budget.resize(0, len(body))
            return Reply(vm, body.decode(errors="replace"))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Reply(vm, "", str(error) or type(error).__name__)
