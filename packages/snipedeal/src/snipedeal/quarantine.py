"""Find out which requests crash targets, from the crashes that all routers see.

This module performs no I/O and reads no clock. A request is known by its traits: hashes
of the whole request and of the parts of its content that other requests may share. Each
crash has as suspects the traits of the requests that the target had not answered. See
docs/design/crashing-requests.md.
"""

import collections
import enum
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.utils import stable_hash

if t.TYPE_CHECKING:
    from snipedeal.messages import Incident

#: Hash of a whole request, or of a part of its content.
Trait = int


class Standing(enum.IntEnum):
    """What is known of a trait in one crash; a merge keeps the higher standing."""

    SUSPECT = 1
    #: Its request was sent after an earlier crash with the trait was known.
    REPEATED = 2
    #: A later request with the trait was answered.
    CLEARED = 3


@attrs.define
class Crash:
    """A crash of one instance of a target.

    :param instance: identifies one start of the target, the same at all routers.
    :param first_seen_ms: monotonic time of the crash, as far as it is known here.
    """

    instance: str
    first_seen_ms: float
    standings: dict[Trait, Standing] = attrs.Factory(dict)

    def suspects(self) -> t.Iterator[tuple[Trait, Standing]]:
        """Yield the traits that have not been cleared."""
        for trait, standing in self.standings.items():
            if standing is not Standing.CLEARED:
                yield trait, standing


@attrs.define
class _Verdict:
    """A quarantine.

    :param count: independent crashes with the trait.
    :param group: the trait and those that are as likely; a request with all of them is
        refused.
    :param until_ms: monotonic time from which a probe may be sent.
    """

    count: int
    group: frozenset[Trait]
    until_ms: float


@attrs.frozen
class Cause:
    """Why requests with a trait are in quarantine.

    :param count: independent crashes with the trait.
    :param ties: other traits that a request must have as well to be refused.
    :param instances: the targets that crashed, in order.
    :param left_ms: time until a probe may be sent, at least 0.
    """

    trait: Trait
    count: int
    ties: frozenset[Trait]
    instances: tuple[str, ...]
    left_ms: float


@attrs.define(eq=False, repr=False)
class CrashEvidence:
    """The crashes of the last minutes and the traits in quarantine that follow.

    All routers that know the same crashes have the same traits in quarantine.
    """

    _crashes: dict[str, Crash] = attrs.Factory(dict)
    _verdicts: dict[Trait, _Verdict] = attrs.Factory(dict)
    # Standing of each suspect, by trait and by instance that crashed.
    _occurrences: dict[Trait, dict[str, Standing]] = attrs.Factory(dict)
    # Suspects of several crashes.
    _recurring: set[Trait] = attrs.Factory(set)

    @property
    def crashes(self) -> t.Collection[Crash]:
        """The crashes that are remembered."""
        return self._crashes.values()

    @property
    def quarantined(self) -> t.Collection[Trait]:
        """The traits in quarantine."""
        return self._verdicts.keys()

    def repeated(self, traits: t.Iterable[Trait]) -> frozenset[Trait]:
        """Return the traits that are suspects already, before a request is sent."""
        if not self._occurrences:
            return frozenset()
        return frozenset(self._occurrences.keys() & set(traits))

    def merge(
        self,
        instance: str,
        standings: t.Mapping[Trait, Standing],
        now_ms: float,
        age_ms: float = 0.0,
    ) -> bool:
        """Add what is known of a crash; return whether any of it was new.

        :param age_ms: time since the crash.
        """
        if age_ms >= defaults.CRASH_RECORD_MS:
            return False
        crash = self._crashes.get(instance)
        if crash is None:
            crash = self._crashes[instance] = Crash(instance, now_ms - age_ms)
        crash.first_seen_ms = min(crash.first_seen_ms, now_ms - age_ms)
        raised = {
            trait: standing
            for trait, standing in standings.items()
            if standing > crash.standings.get(trait, 0)
        }
        for trait, standing in raised.items():
            self._set(crash, trait, standing)
        self._sample(crash)
        is_new = bool(raised.keys() & crash.standings.keys())
        has_dropped = self._drop_oldest()
        if is_new or has_dropped:
            self._update(now_ms)
        return is_new

    def clear(self, traits: t.Iterable[Trait], now_ms: float) -> list[Crash]:
        """Clear the traits of a request that a target has answered.

        :return: the crashes in which one of them was a suspect, with just these traits.
        """
        changes: dict[str, Crash] = {}
        for trait in self.repeated(traits):
            for instance in list(self._occurrences[trait]):
                crash = self._crashes[instance]
                self._set(crash, trait, Standing.CLEARED)
                change = changes.setdefault(
                    instance, Crash(instance, crash.first_seen_ms)
                )
                change.standings[trait] = Standing.CLEARED
        if changes:
            self._update(now_ms)
        return [changes[key] for key in self._crashes if key in changes]

    def find_cause(self, traits: t.Collection[Trait], now_ms: float) -> Cause | None:
        """Return why a request with these traits is refused, ``None`` if it is not."""
        found = self._find(traits)
        return None if found is None else self.cause(found[0], now_ms)

    def cause(self, trait: Trait, now_ms: float) -> Cause:
        """Return why a trait is in quarantine.

        :raises KeyError: it is not.
        """
        verdict = self._verdicts[trait]
        crashes = [self._crashes[key] for key in self._occurrences[trait]]
        crashes.sort(key=lambda crash: crash.first_seen_ms)
        return Cause(
            trait,
            verdict.count,
            verdict.group - {trait},
            tuple(crash.instance for crash in crashes),
            max(0.0, verdict.until_ms - now_ms),
        )

    def begin_probe(
        self,
        traits: t.Collection[Trait],
        is_owner: t.Callable[[Trait], bool],
        now_ms: float,
    ) -> bool:
        """Return whether a refused request may be sent, to try a quarantine that ended.

        No other one may until this one has had time to be answered.

        :param is_owner: whether this router is the one that probes a trait.
        """
        found = self._find(traits)
        if found is None:
            return True
        _, verdict = found
        if now_ms < verdict.until_ms or not is_owner(min(verdict.group)):
            return False
        for tied in verdict.group:
            self._verdicts[tied].until_ms = now_ms + defaults.QUARANTINE_PROBE_MS
        return True

    def expire(self, now_ms: float) -> None:
        """Drop the crashes that are too old."""
        old = [
            crash.instance
            for crash in self._crashes.values()
            if now_ms - crash.first_seen_ms >= defaults.CRASH_RECORD_MS
        ]
        for instance in old:
            self._drop(instance)
        if old:
            self._update(now_ms)

    # -- internals -----------------------------------------------------------------

    def _set(self, crash: Crash, trait: Trait, standing: Standing) -> None:
        crash.standings[trait] = standing
        if standing is Standing.CLEARED:
            self._remove_suspect(trait, crash.instance)
            return
        found = self._occurrences.setdefault(trait, {})
        found[crash.instance] = standing
        if len(found) >= defaults.QUARANTINE_CRASHES:
            self._recurring.add(trait)

    def _remove_suspect(self, trait: Trait, instance: str) -> None:
        found = self._occurrences.get(trait)
        if found is None:
            return
        found.pop(instance, None)
        if len(found) < defaults.QUARANTINE_CRASHES:
            self._recurring.discard(trait)
        if not found:
            del self._occurrences[trait]

    def _drop(self, instance: str) -> None:
        crash = self._crashes.pop(instance)
        for trait in crash.standings:
            self._remove_suspect(trait, instance)

    def _sample(self, crash: Crash) -> None:
        """Bound the traits of a crash, by a sample that differs between crashes."""
        for trait in _excess_traits(crash.instance, crash.standings):
            del crash.standings[trait]
            self._remove_suspect(trait, crash.instance)

    def _drop_oldest(self) -> bool:
        """Bound the crashes, and the traits of all of them together.

        :return: whether any was dropped.
        """
        before = len(self._crashes)
        total = sum(len(crash.standings) for crash in self._crashes.values())
        while len(self._crashes) > defaults.CRASH_RECORDS or (
            total > defaults.CRASH_TRAITS_TOTAL
        ):
            oldest = min(self._crashes.values(), key=lambda c: c.first_seen_ms)
            total -= len(oldest.standings)
            self._drop(oldest.instance)
        return len(self._crashes) < before

    def _find(self, traits: t.Collection[Trait]) -> tuple[Trait, _Verdict] | None:
        """Return the trait for which a request is refused longest."""
        if not self._verdicts:
            return None
        wanted = set(traits)
        found: list[tuple[Trait, _Verdict]] = []
        examined: dict[int, bool] = {}
        for trait in self._verdicts.keys() & wanted:
            verdict = self._verdicts[trait]
            # Tied traits have one group, which may be large.
            key = id(verdict.group)
            if key not in examined:
                examined[key] = verdict.group <= wanted
            if examined[key]:
                found.append((trait, verdict))
        return max(found, key=lambda item: item[1].until_ms, default=None)

    def _update(self, now_ms: float) -> None:
        """Compute the verdicts from the crashes.

        The traits with the highest counts come first. A crash that they explain does
        not count for traits with lower counts.
        """
        counts = {trait: _count(self._occurrences[trait]) for trait in self._recurring}
        by_count: dict[int, list[Trait]] = {}
        for trait, count in counts.items():
            by_count.setdefault(count, []).append(trait)
        explained: set[str] = set()
        verdicts: dict[Trait, _Verdict] = {}
        for level in sorted(by_count, reverse=True):
            groups: dict[frozenset[str], set[Trait]] = {}
            for trait in by_count[level]:
                found = self._occurrences[trait]
                left = {key: found[key] for key in found.keys() - explained}
                if _count(left) >= defaults.QUARANTINE_CRASHES:
                    groups.setdefault(frozenset(found), set()).add(trait)
            for instances, tied in groups.items():
                group = frozenset(tied)
                for trait in group:
                    verdicts[trait] = self._renew(trait, level, group, now_ms)
                explained |= instances
        self._verdicts = verdicts

    def _renew(
        self, trait: Trait, count: int, group: frozenset[Trait], now_ms: float
    ) -> _Verdict:
        """Return a verdict, which lasts longer with each further crash."""
        known = self._verdicts.get(trait)
        if known is not None and known.count == count:
            return _Verdict(count, group, known.until_ms)
        factor = 2.0 ** min(count - defaults.QUARANTINE_CRASHES, 16)
        duration_ms = min(
            defaults.QUARANTINE_LIMIT_MS, defaults.QUARANTINE_FIRST_MS * factor
        )
        return _Verdict(count, group, now_ms + duration_ms)


def _count(found: t.Mapping[str, Standing]) -> int:
    """Return the number of independent crashes; those of one event count as one."""
    repeated = sum(standing is Standing.REPEATED for standing in found.values())
    return repeated + min(1, len(found) - repeated)


def _excess_traits(instance: str, standings: t.Mapping[Trait, Standing]) -> list[Trait]:
    """Return the traits of a crash beyond ``CRASH_TRAITS``.

    Repeated traits are kept first. Which others are kept differs between crashes, so
    that none is left out of all of them.
    """
    excess = len(standings) - defaults.CRASH_TRAITS
    if excess <= 0:
        return []
    ranked = sorted(
        standings,
        key=lambda trait: (
            standings[trait] is not Standing.REPEATED,
            stable_hash(instance, str(trait)),
        ),
    )
    return ranked[-excess:]


def sample_standings(
    instance: str, standings: t.Mapping[Trait, Standing]
) -> dict[Trait, Standing]:
    """Return the standings that are kept of a crash, see :class:`CrashEvidence`."""
    dropped = set(_excess_traits(instance, standings))
    return {key: value for key, value in standings.items() if key not in dropped}


def split_standings(
    standings: t.Mapping[Trait, Standing],
) -> t.Iterator[tuple[tuple[Trait, Standing], ...]]:
    """Yield the standings of a crash in as many parts as reports of it need."""
    items = tuple(standings.items())
    for start in range(0, len(items), defaults.CRASH_REPORT_TRAITS):
        yield items[start : start + defaults.CRASH_REPORT_TRAITS]


@attrs.define
class _SuspectRecord:
    """Crashes that happened while a request of one fingerprint ran.

    :param expires_ms: monotonic time at which the record is dropped.
    """

    crashes: int = 0
    is_quarantined: bool = False
    expires_ms: int = 0


@attrs.define(eq=False, repr=False)
class Quarantine:
    """Fingerprints of suspect and quarantined requests."""

    _suspects: dict[str, _SuspectRecord] = attrs.Factory(dict)
    _seen_crashes: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )

    def __len__(self) -> int:
        return len(self._suspects)

    def apply(self, incident: "Incident", now_ms: int) -> bool:
        """Apply the report of a crash.

        :param now_ms: monotonic time.
        :return: whether the report was new.
        """
        if incident.crash in self._seen_crashes:
            return False
        self._seen_crashes[incident.crash] = None
        if len(self._seen_crashes) > defaults.STATE_TABLE_LIMIT:
            self._seen_crashes.popitem(last=False)
        for fingerprint in incident.fingerprints:
            self._record_crash(fingerprint, incident.is_solo, now_ms)
        return True

    def is_refused(self, fingerprint: str, now_ms: int) -> bool:
        """Whether a request is quarantined and must be refused."""
        suspect = self._find_unexpired(fingerprint, now_ms)
        return suspect is not None and suspect.is_quarantined

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Whether a request may run only alone on a target."""
        return self._find_unexpired(fingerprint, now_ms) is not None

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a suspect that ran to completion; a quarantine stays in force."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and not suspect.is_quarantined:
            del self._suspects[fingerprint]

    def expire(self, now_ms: int) -> None:
        """Drop the records that have expired."""
        for fingerprint in list(self._suspects):
            self._find_unexpired(fingerprint, now_ms)

    def _record_crash(self, fingerprint: str, is_solo: bool, now_ms: int) -> None:
        suspect = self._suspects.setdefault(fingerprint, _SuspectRecord())
        suspect.crashes += 1
        if is_solo:
            suspect.is_quarantined = True
        duration_ms = (
            defaults.QUARANTINE_MS if suspect.is_quarantined else defaults.SUSPECT_MS
        )
        suspect.expires_ms = now_ms + duration_ms

    def _find_unexpired(self, fingerprint: str, now_ms: int) -> _SuspectRecord | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_ms <= now_ms:
            del self._suspects[fingerprint]
            return None
        return suspect
