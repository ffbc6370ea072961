"""Keep requests that crash targets from taking down more of them.

Every request that runs at a target when it crashes is a suspect. A suspect
runs again only alone on a target; a crash while it is alone convicts it, and
its fingerprint is refused for a time. Crashes are counted by identifier, so
that a report that comes over the log and over a link counts once.
"""

import collections

import attrs

from snipedeal import defaults
from snipedeal.messages import Incident


@attrs.define
class _Suspicion:
    """Crashes that a fingerprint was present at."""

    crashes: int = 0
    is_convicted: bool = False
    until_ms: int = 0


@attrs.define
class Quarantine:
    """Fingerprints under suspicion and those that are refused."""

    _suspicions: dict[str, _Suspicion] = attrs.Factory(dict)
    _seen: collections.OrderedDict[str, None] = attrs.Factory(collections.OrderedDict)

    def __len__(self) -> int:
        return len(self._suspicions)

    def apply(self, incident: Incident, now_ms: int) -> bool:
        """Take the report of a crash.

        :param now_ms: monotonic time.
        :return: whether the report was new.
        """
        if incident.crash in self._seen:
            return False
        self._seen[incident.crash] = None
        if len(self._seen) > defaults.ESTIMATE_KEYS_LIMIT:
            self._seen.popitem(last=False)
        for fingerprint in incident.fingerprints:
            self._suspect(fingerprint, incident.is_solo, now_ms)
        return True

    def is_refused(self, fingerprint: str, now_ms: int) -> bool:
        """Whether a request is refused."""
        suspicion = self._current(fingerprint, now_ms)
        return suspicion is not None and suspicion.is_convicted

    def is_suspect(self, fingerprint: str, now_ms: int) -> bool:
        """Whether a request may run only alone on a target."""
        return self._current(fingerprint, now_ms) is not None

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion of a request that ran to its end."""
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and not suspicion.is_convicted:
            del self._suspicions[fingerprint]

    def expire(self, now_ms: int) -> None:
        """Drop suspicions whose time is over."""
        for fingerprint in list(self._suspicions):
            self._current(fingerprint, now_ms)

    def _suspect(self, fingerprint: str, is_solo: bool, now_ms: int) -> None:
        suspicion = self._suspicions.setdefault(fingerprint, _Suspicion())
        suspicion.crashes += 1
        if is_solo:
            suspicion.is_convicted = True
        lasts_ms = (
            defaults.QUARANTINE_MS if suspicion.is_convicted else defaults.SUSPECT_MS
        )
        suspicion.until_ms = now_ms + lasts_ms

    def _current(self, fingerprint: str, now_ms: int) -> _Suspicion | None:
        suspicion = self._suspicions.get(fingerprint)
        if suspicion is not None and suspicion.until_ms <= now_ms:
            del self._suspicions[fingerprint]
            return None
        return suspicion
