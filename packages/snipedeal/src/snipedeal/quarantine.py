"""Quarantine of requests that crash targets.

Every request that runs on a target when it crashes becomes a suspect. A suspect
is retried only alone on a target. If the target crashes again, the suspect is the
cause: its fingerprint is quarantined for a limited time, in which such requests are
refused. Reports are deduplicated by crash identifier, since each arrives over the
log and over a link.
"""

import collections

import attrs

from snipedeal import defaults
from snipedeal.messages import Incident


@attrs.define
class _SuspectRecord:
    """Crashes that happened while a request of one fingerprint ran.

    :param expires_ms: monotonic time at which the record is dropped.
    """

    crashes: int = 0
    is_quarantined: bool = False
    expires_ms: int = 0


@attrs.define
class Quarantine:
    """Fingerprints of suspect and quarantined requests."""

    _suspects: dict[str, _SuspectRecord] = attrs.Factory(dict)
    _seen_crashes: collections.OrderedDict[str, None] = attrs.Factory(
        collections.OrderedDict
    )

    def __len__(self) -> int:
        return len(self._suspects)

    def apply(self, incident: Incident, now_ms: int) -> bool:
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
