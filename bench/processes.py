"""Read the resource usage of processes, and generate open-loop load."""

import asyncio
import os
import time
import typing as t

import attrs

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Usage:
    """Resource usage of a process at one time.

    :param time_s: monotonic time of the reading.
    :param cpu_s: CPU time since the start of the process.
    :param resident_mb: resident memory in MB of 10**6 bytes.
    """

    time_s: float
    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Return the current resource usage of a process."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = next(line for line in file if line.startswith("VmRSS"))
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
    return Usage(time.monotonic(), cpu_s, int(resident.split()[1]) * 1024 / 1e6)


def cores_between(before: Usage, after: Usage) -> float:
    """Return the mean number of cores that a process used between two readings."""
    return (after.cpu_s - before.cpu_s) / (after.time_s - before.time_s)


async def run_open_loop(
    call: t.Callable[[int], t.Awaitable[t.Any]], per_s: float, seconds: float
) -> list[t.Any]:
    """Send calls at a constant rate, independent of their answers.

    :param call: sends the call with the given number.
    :param per_s: calls per second.
    :return: the results of the calls.
    """
    started = time.monotonic()
    tasks = []
    for number in range(int(per_s * seconds)):
        await asyncio.sleep(max(0.0, started + number / per_s - time.monotonic()))
        tasks.append(asyncio.ensure_future(call(number)))
    return list(await asyncio.gather(*tasks))
