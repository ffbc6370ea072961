"""Detect crashes of targets, and keep requests that cause them from other targets."""

import array
import asyncio
import contextlib
import typing as t

import attrs
import xxhash

from snipedeal import defaults as core_defaults
from snipedeal.quarantine import Cause
from snipedeal.quarantine import Crash
from snipedeal.quarantine import CrashEvidence
from snipedeal.quarantine import Standing
from snipedeal.quarantine import Trait
from snipedeal.quarantine import split_standings
from snipedeal.utils import rendezvous_owner
from snipedeal.utils import stable_hash
from snipedeal_direct import defaults
from snipedeal_direct.gossip import CrashReport
from snipedeal_direct.journal import info
from snipedeal_direct.model import Call
from snipedeal_direct.model import Target
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.queueing import retry_after_s

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter


@attrs.define(eq=False)
class Attempt:
    """A call sent to a target, until its connection is released.

    :param abort: breaks off the attempt, for a reason.
    :param repeated: traits of the call that were suspects when it was sent.
    :param first_event_ms: monotonic time of its first event, ``None`` before it.
    :param is_settled: whether the target has answered the call, and so survived it.
    :param refusal: why it was broken off, ``None`` if it was not.
    """

    call: Call
    target: Target
    abort: t.Callable[[str], None]
    repeated: frozenset[Trait] = frozenset()
    first_event_ms: float | None = None
    is_settled: bool = False
    refusal: Refusal | None = None


@attrs.define(eq=False)
class _Instance:
    """One start of a target, with its attempts that may still crash it.

    :param probe: connects to the target after an attempt broke.
    """

    target: Target
    unsettled: set[Attempt] = attrs.Factory(set)
    probe: asyncio.Task[None] | None = None


@attrs.define
class _Resend:
    """Standings to report again, in case a datagram was lost.

    :param left: number of times.
    """

    instance: str
    traits: tuple[Trait, ...]
    left: int = defaults.FINDING_RESENDS


class CrashWatch:
    """Track attempts and quarantine the traits of requests that crash targets.

    A broken connection alone is no crash: a target may reset one connection and serve
    the others. A target whose address then refuses connections has crashed.

    :param router: the router that owns this object.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self.evidence = CrashEvidence()
        self._router = router
        self._clock = router.clock
        self._metrics = router.metrics
        self._instances: dict[str, _Instance] = {}
        self._quarantined: frozenset[Trait] = frozenset()
        self._resends: list[_Resend] = []
        # Refreshes so far, by which the traits that each repeats are chosen.
        self._refreshes = 0

    async def close(self) -> None:
        """Stop all probes."""
        for instance in self._instances.values():
            if instance.probe is not None:
                instance.probe.cancel()

    # -- calls -----------------------------------------------------------------------

    def refuse(self, call: Call) -> Refusal | None:
        """Refuse a call with a trait in quarantine, unless it may probe the trait."""
        if call.is_probe or not self.evidence.quarantined:
            return None
        traits = call_traits(call)
        now_ms = self._clock.now_ms()
        cause = self.evidence.find_cause(traits, now_ms)
        if cause is None:
            return None
        if not call.attempts and self.evidence.begin_probe(traits, self._owns, now_ms):
            call.is_probe = True
            info("quarantine.probed", request=call.id, **_cause_fields(cause))
            return None
        return _refusal(call, cause)

    def _owns(self, trait: Trait) -> bool:
        names = self._router.peers.live_names
        return rendezvous_owner(str(trait), names) == self._router.settings.name

    def begin(
        self, call: Call, target: Target, abort: t.Callable[[str], None]
    ) -> Attempt:
        """Track a call from now on, which is sent to a target.

        :param abort: breaks off the attempt, for a reason.
        """
        attempt = Attempt(call, target, abort)
        if self.evidence.crashes:
            attempt.repeated = self.evidence.repeated(call_traits(call))
        instance = self._instances.setdefault(target.instance, _Instance(target))
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
        elif now_ms - attempt.first_event_ms >= core_defaults.SETTLE_MS:
            self.settle(attempt)

    def settle(self, attempt: Attempt) -> None:
        """Record that a target has answered a call; this clears the call's traits."""
        if attempt.is_settled:
            return
        attempt.is_settled = True
        self.end(attempt)
        if self.evidence.crashes:
            now_ms = self._clock.now_ms()
            changed = self.evidence.clear(call_traits(attempt.call), now_ms)
            if changed:
                self._broadcast(changed)
                self._act_on_verdicts()

    def end(self, attempt: Attempt) -> None:
        """Stop tracking an attempt."""
        instance = self._instances.get(attempt.target.instance)
        if instance is not None:
            instance.unsettled.discard(attempt)
            self._forget_if_idle(instance)

    def _forget_if_idle(self, instance: _Instance) -> None:
        if not instance.unsettled and instance.probe is None:
            self._instances.pop(instance.target.instance, None)

    # -- crashes ---------------------------------------------------------------------

    async def examine(self, attempt: Attempt) -> None:
        """Find out whether the target of a broken attempt has crashed."""
        attempt.call.is_probe = False
        instance = self._instances.get(attempt.target.instance)
        if attempt.is_settled or instance is None:
            return
        if instance.probe is None:
            instance.probe = asyncio.create_task(self._probe(instance))
        await asyncio.shield(instance.probe)

    async def wait_until_cleared(self, call: Call) -> None:
        """Hold the retry of a suspect until requests with its parts are answered.

        Parts in use are cleared within one response time. Those that are not by
        ``RETRY_HOLD_MS`` are tried again.
        """
        if not call.is_suspect:
            return
        parts = part_traits(call)
        until_ms = self._clock.now_ms() + defaults.RETRY_HOLD_MS
        while (
            self.evidence.repeated(parts)
            and self._check_quarantine(call) is None
            and self._clock.now_ms() < until_ms
        ):
            await asyncio.sleep(defaults.DISPATCH_TICK_MS / 1000)

    def apply(self, report: CrashReport) -> None:
        """Apply what a peer knows of a crash."""
        standings = dict(report.standings)
        now_ms = self._clock.now_ms()
        if self.evidence.merge(report.instance, standings, now_ms, report.age_ms):
            self._act_on_verdicts()

    def expire(self) -> None:
        """Forget old crashes."""
        if self.evidence.crashes:
            self.evidence.expire(self._clock.now_ms())
            self._act_on_verdicts()

    def reports_due(self, is_refresh: bool) -> list[CrashReport]:
        """Return the crashes to report to peers again, in case a datagram was lost.

        Own findings are sent a few times. With each refresh, a few routers repeat each
        crash, also for routers that were started since.
        """
        crashes = {crash.instance: crash for crash in self.evidence.crashes}
        due: dict[str, set[Trait]] = {}
        for resend in self._resends:
            resend.left -= 1
            if resend.instance in crashes:
                due.setdefault(resend.instance, set()).update(resend.traits)
        self._resends = [resend for resend in self._resends if resend.left > 0]
        if is_refresh and crashes:
            self._refreshes += 1
            for instance, crash in crashes.items():
                if self._router.peers.repeats(instance):
                    traits = self._traits_to_refresh(crash)
                    due.setdefault(instance, set()).update(traits)
        return [
            report
            for instance, traits in due.items()
            for report in self._reports(crashes[instance], traits)
        ]

    def _traits_to_refresh(self, crash: Crash) -> t.Iterable[Trait]:
        """Return as many traits of a crash as one report holds.

        Those in quarantine come first, then a part of the others that moves on with
        each refresh.
        """
        limit = core_defaults.CRASH_REPORT_TRAITS
        if len(crash.standings) <= limit:
            return crash.standings
        urgent = [trait for trait in crash.standings if trait in self._quarantined][
            :limit
        ]
        others = list(crash.standings)
        start = self._refreshes * limit % len(others)
        return urgent + (others[start:] + others[:start])[: limit - len(urgent)]

    def _reports(
        self, crash: Crash, traits: t.Iterable[Trait]
    ) -> t.Iterator[CrashReport]:
        """Yield reports of what is known of some traits of a crash."""
        age_ms = max(0, int(self._clock.now_ms() - crash.first_seen_ms))
        standings = {
            trait: crash.standings[trait]
            for trait in traits
            if trait in crash.standings
        }
        for part in split_standings(standings):
            yield CrashReport(crash.instance, age_ms, part)

    async def _probe(self, instance: _Instance) -> None:
        try:
            if await _refuses_connections(instance.target):
                self._report(instance)
        finally:
            instance.probe = None
            self._forget_if_idle(instance)

    def _report(self, instance: _Instance) -> None:
        """Record a crash with the attempts that the target had not answered."""
        target = instance.target
        standings: dict[Trait, Standing] = {}
        for attempt in instance.unsettled:
            for trait in _suspect_traits(attempt.call):
                is_repeated = trait in attempt.repeated
                is_full = len(standings) >= core_defaults.CRASH_TRAITS_TOTAL
                if is_full and not is_repeated:
                    continue
                standing = Standing.REPEATED if is_repeated else Standing.SUSPECT
                standings[trait] = max(standing, standings.get(trait, standing))
        key = target.instance
        if key not in {crash.instance for crash in self.evidence.crashes}:
            self._metrics.target_crashes.labels(target.service).inc()
        info(
            "target.crashed",
            target=key,
            service=target.service,
            unanswered=[attempt.call.id for attempt in instance.unsettled],
            suspects=len(standings),
            parts=_describe_parts(instance.unsettled, standings),
            repeated=[
                _hex(trait)
                for trait, standing in standings.items()
                if standing is Standing.REPEATED
            ][: core_defaults.CRASH_LOG_TRAITS],
        )
        self._router.dispatcher.restrictions.note_crash(key, target.service)
        if self.evidence.merge(key, standings, self._clock.now_ms()):
            self._broadcast([Crash(key, self._clock.now_ms(), standings)])
            self._act_on_verdicts()
        for attempt in instance.unsettled:
            attempt.call.is_suspect = True

    def _broadcast(self, changes: t.Sequence[Crash]) -> None:
        """Report what this router has found, now and a few times more.

        :param changes: crashes with the standings that were found.
        """
        known = {crash.instance: crash for crash in self.evidence.crashes}
        reports: list[CrashReport] = []
        for change in changes:
            if change.instance in known:
                traits = tuple(change.standings)
                self._resends.append(_Resend(change.instance, traits))
                reports += self._reports(known[change.instance], traits)
        self._router.peers.broadcast(reports)

    def _act_on_verdicts(self) -> None:
        """Refuse waiting calls and break off unanswered ones with new traits."""
        quarantined = frozenset(self.evidence.quarantined)
        if quarantined == self._quarantined:
            return
        for trait in quarantined - self._quarantined:
            cause = self.evidence.cause(trait, self._clock.now_ms())
            info("quarantine.began", **_cause_fields(cause))
        for trait in self._quarantined - quarantined:
            info("quarantine.ended", trait=_hex(trait))
        self._quarantined = quarantined
        self._router.dispatcher.refuse_waiting(self._check_quarantine)
        for instance in list(self._instances.values()):
            for attempt in list(instance.unsettled):
                attempt.refusal = self._check_quarantine(attempt.call)
                if attempt.refusal is not None:
                    attempt.abort("quarantined")

    def _check_quarantine(self, call: Call) -> Refusal | None:
        if call.is_probe:
            return None
        cause = self.evidence.find_cause(call_traits(call), self._clock.now_ms())
        return None if cause is None else _refusal(call, cause)


def call_traits(call: Call) -> frozenset[Trait]:
    """Return the traits of a call: the whole request, and the parts of its prompt."""
    if call.traits is None:
        traits = part_traits(call) | {request_trait(call)}
        is_large = len(traits) > defaults.PROMPT_PARTS
        call.traits = array.array("Q", traits) if is_large else traits
    return frozenset(call.traits)


def request_trait(call: Call) -> Trait:
    """Return the trait of a whole request, the same if it is sent again."""
    body = xxhash.xxh3_64_hexdigest(call.body)
    path = call.path.decode("latin-1")
    return stable_hash("request", call.customer, call.method, path, body)


def part_traits(call: Call) -> frozenset[Trait]:
    """Return the traits of the prompt parts that other requests may share.

    The last part of a prompt belongs to one request only. All others count, wherever
    they stand: their number is bounded by the limit of the header that lists them.
    """
    if call.prompt is None:
        return frozenset()
    return frozenset(map(_part_trait, call.prompt.shared_part_ids()))


def _part_trait(part_id: str) -> Trait:
    return stable_hash("part", part_id)


def _suspect_traits(call: Call) -> frozenset[Trait]:
    """Return the traits for which a crash of the call's target is evidence.

    A call that this router sends again is the same request again, whichever of its
    parts is the cause; its own trait would always tie with that part.
    """
    parts = part_traits(call)
    return parts if call.is_suspect and parts else call_traits(call)


def _refusal(call: Call, cause: Cause) -> Refusal:
    retry_s = max(cause.left_ms / 1000, retry_after_s(call.id))
    detail = f"{_describe(call, cause.trait)} crashed {', '.join(cause.instances)}"
    return Refusal(503, "quarantined", retry_s, is_for_load=False, detail=detail)


def _describe(call: Call, trait: Trait) -> str:
    """Return what a trait of a call stands for."""
    for part_id in call.prompt.shared_part_ids() if call.prompt else ():
        if _part_trait(part_id) == trait:
            return f"trait {_hex(trait)}, part {part_id},"
    return f"trait {_hex(trait)}, the whole request,"


def _cause_fields(cause: Cause) -> dict[str, t.Any]:
    return {
        "trait": _hex(cause.trait),
        "crashes": cause.count,
        "targets": list(cause.instances),
        "ties": sorted(map(_hex, cause.ties))[: core_defaults.CRASH_LOG_TRAITS],
        "tie_count": len(cause.ties),
        "left_ms": round(cause.left_ms),
    }


def _hex(trait: Trait) -> str:
    return f"{trait:016x}"


def _describe_parts(
    attempts: t.Iterable[Attempt], standings: t.Mapping[Trait, Standing]
) -> dict[str, str]:
    """Return shared parts of unanswered calls, by trait, repeated ones first."""
    ranked = sorted(standings, key=lambda trait: standings[trait], reverse=True)
    wanted = set(ranked[: core_defaults.CRASH_LOG_TRAITS])
    found: dict[Trait, str] = {}
    for attempt in attempts:
        prompt = attempt.call.prompt
        for part_id in prompt.shared_part_ids() if prompt is not None else ():
            trait = _part_trait(part_id)
            if trait in wanted:
                found[trait] = part_id
    return {_hex(trait): found[trait] for trait in ranked if trait in found}


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
