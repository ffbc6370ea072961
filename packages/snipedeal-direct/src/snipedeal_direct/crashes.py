"""Detect crashes of targets and the calls that may have caused them."""

import asyncio
import contextlib
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.journal import info
from snipedeal_direct.model import Call
from snipedeal_direct.model import Target

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter


@attrs.define(eq=False)
class Attempt:
    """A call sent to a target, until its connection is released.

    :param first_event_ms: monotonic time of its first event, ``None`` before it.
    :param is_settled: whether the target has answered the call, and so survived it.
    """

    call: Call
    target: Target
    first_event_ms: float | None = None
    is_settled: bool = False


@attrs.define(eq=False)
class _Instance:
    """One start of a target, with its attempts that may still crash it.

    :param probe: connects to the target after an attempt broke.
    """

    target: Target
    unsettled: set[Attempt] = attrs.Factory(set)
    probe: asyncio.Task[None] | None = None


class CrashWatch:
    """Track attempts and name those that were unanswered when their target crashed.

    A broken connection alone is no crash: a target may reset one connection and serve
    the others. A target whose address then refuses connections has crashed.

    :param router: the router that owns this object.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self._clock = router.clock
        self._metrics = router.metrics
        self._instances: dict[str, _Instance] = {}

    async def close(self) -> None:
        """Stop all probes."""
        for instance in self._instances.values():
            if instance.probe is not None:
                instance.probe.cancel()

    def begin(self, call: Call, target: Target) -> Attempt:
        """Track a call from now on, which is sent to a target."""
        attempt = Attempt(call, target)
        instance = self._instances.setdefault(_instance_id(target), _Instance(target))
        instance.unsettled.add(attempt)
        return attempt

    def note_event(self, attempt: Attempt) -> None:
        """Record an event of a stream; later ones settle the attempt.

        A target may write its first event and end with the next ones.
        """
        if attempt.is_settled:
            return
        now_ms = self._clock.now_ms()
        if attempt.first_event_ms is None:
            attempt.first_event_ms = now_ms
        elif now_ms - attempt.first_event_ms >= defaults.SETTLE_MS:
            self.settle(attempt)

    def settle(self, attempt: Attempt) -> None:
        """Record that a target has answered a call."""
        attempt.is_settled = True
        self.end(attempt)

    def end(self, attempt: Attempt) -> None:
        """Stop tracking an attempt."""
        key = _instance_id(attempt.target)
        instance = self._instances.get(key)
        if instance is not None:
            instance.unsettled.discard(attempt)
            if not instance.unsettled and instance.probe is None:
                del self._instances[key]

    async def examine(self, attempt: Attempt) -> None:
        """Find out whether the target of a broken attempt has crashed."""
        instance = self._instances.get(_instance_id(attempt.target))
        if attempt.is_settled or instance is None:
            return
        if instance.probe is None:
            instance.probe = asyncio.create_task(self._probe(instance))
        await asyncio.shield(instance.probe)

    async def _probe(self, instance: _Instance) -> None:
        target = instance.target
        try:
            if await _refuses_connections(target):
                self._report(instance)
        finally:
            instance.probe = None

    def _report(self, instance: _Instance) -> None:
        target = instance.target
        self._metrics.target_crashes.labels(target.service).inc()
        info(
            "target.crashed",
            target=target.id,
            service=target.service,
            unanswered=[attempt.call.id for attempt in instance.unsettled],
            parts=sorted(
                {
                    part.id
                    for attempt in instance.unsettled
                    if attempt.call.prompt is not None
                    for part in attempt.call.prompt.parts[:-1]
                }
            ),
        )


def _instance_id(target: Target) -> str:
    """Return an identifier of one start of a target."""
    return f"{target.id}/{target.started_ms}"


async def _refuses_connections(target: Target) -> bool:
    """Return whether nothing listens on a target's address."""
    try:
        async with asyncio.timeout(defaults.CRASH_PROBE_TIMEOUT_MS / 1000):
            _, writer = await asyncio.open_connection(target.host, target.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
