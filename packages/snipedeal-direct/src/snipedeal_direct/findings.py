"""Remember what targets say of themselves in responses, beyond their registrations.

A target that leaves says so in its responses, and one that has too much to do names a
time for which it wants no requests. Both hold for one instance of the target. They
outlast its registration, which may be late, lapse in an outage of the platform's store
and come back. This module performs no I/O and reads no clock. See
docs/design/leaving-targets.md.
"""

import collections
import math

import attrs

from snipedeal_direct import defaults


@attrs.define(eq=False, repr=False)
class PauseRamp:
    """The time for which a target wants no requests, and its return to full load.

    After a pause, the target's capacity becomes usable in small steps: the calls that
    have waited for it would otherwise arrive at once.
    """

    _until_ms: float = -math.inf

    def extend(self, until_ms: float) -> bool:
        """Pause until a monotonic time; return whether that is later than before."""
        if until_ms <= self._until_ms:
            return False
        self._until_ms = until_ms
        return True

    def left_ms(self, now_ms: float) -> float:
        """Return the time until the pause ends, zero after it."""
        return max(0.0, self._until_ms - now_ms)

    def fraction(self, now_ms: float) -> float:
        """Return the fraction of the target's capacity that may be used, 0 to 1."""
        since_ms = now_ms - self._until_ms
        if since_ms < 0:
            return 0.0
        if since_ms >= defaults.PAUSE_RAMP_MS:
            return 1.0
        start = defaults.PAUSE_RAMP_START
        return start + (1.0 - start) * since_ms / defaults.PAUSE_RAMP_MS


class TargetFindings:
    """What is known of targets' instances, for a limited time and number.

    Instances are identified by :attr:`snipedeal_direct.model.Target.instance`.
    """

    def __init__(self) -> None:
        # Monotonic time of the first finding, ms, in the order of the findings.
        self._leaving: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._pauses: collections.OrderedDict[str, PauseRamp] = (
            collections.OrderedDict()
        )

    def note_leaving(self, instance: str, seen_ms: float) -> bool:
        """Record that an instance leaves; return whether that is new.

        :param seen_ms: monotonic time at which it was seen, by any router.
        """
        if instance in self._leaving:
            return False
        self._leaving[instance] = seen_ms
        while len(self._leaving) > defaults.FINDINGS_LIMIT:
            self._leaving.popitem(last=False)
        return True

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance has said that it leaves."""
        return instance in self._leaving

    def leaving(self) -> dict[str, float]:
        """Return when each leaving instance was first seen to leave, monotonic ms."""
        return dict(self._leaving)

    def pause(self, instance: str) -> PauseRamp:
        """Return the pause of an instance, created on first use."""
        found = self._pauses.get(instance)
        if found is None:
            found = self._pauses[instance] = PauseRamp()
            while len(self._pauses) > defaults.FINDINGS_LIMIT:
                self._pauses.popitem(last=False)
        return found

    def known_pause(self, instance: str) -> PauseRamp | None:
        """Return the pause of an instance, ``None`` if it has named none."""
        return self._pauses.get(instance)

    def forget(self, instance: str) -> None:
        """Forget an instance, so that the next one under its identifier is new."""
        self._leaving.pop(instance, None)
        self._pauses.pop(instance, None)

    def expire(self, now_ms: float) -> None:
        """Forget findings that are older than ``FINDING_KEPT_MS``."""
        for instance, seen_ms in list(self._leaving.items()):
            if now_ms - seen_ms > defaults.FINDING_KEPT_MS:
                del self._leaving[instance]
        for instance, pause in list(self._pauses.items()):
            if not pause.left_ms(now_ms) and pause.fraction(now_ms) >= 1.0:
                del self._pauses[instance]
