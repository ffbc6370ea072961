"""Provide the time in milliseconds as an object that tests can replace."""

import time
import typing as t

import attrs

#: How far a peer's wall clock may be ahead of this process's, ms.
CLOCK_SKEW_LIMIT_MS = 24 * 3_600_000
#: Largest counter of a peer's timestamp; counts events within one millisecond.
COUNTER_LIMIT = 2**40


@attrs.frozen
class Clock:
    """Read monotonic and wall time in milliseconds.

    :param monotonic: returns monotonic time in seconds.
    :param wall: returns seconds since the Unix epoch.
    """

    monotonic: t.Callable[[], float] = time.monotonic
    wall: t.Callable[[], float] = time.time

    def now_ms(self) -> int:
        """Return monotonic milliseconds, for intervals and deadlines."""
        return int(self.monotonic() * 1000)

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for logs and timestamps."""
        return int(self.wall() * 1000)


@attrs.define
class HybridClock:
    """Order events across processes (hybrid logical clock, Kulkarni et al. 2014).

    :param clock: source of wall time.
    """

    clock: Clock
    _wall_ms: int = 0
    _counter: int = 0

    def tick(self) -> tuple[int, int]:
        """Return the timestamp ``(wall ms, counter)`` of a local event."""
        wall = self.clock.wall_ms()
        if wall > self._wall_ms:
            self._wall_ms = wall
            self._counter = 0
        else:
            self._counter += 1
        return self._wall_ms, self._counter

    def observe(self, wall_ms: int, counter: int) -> bool:
        """Advance the clock to a timestamp received with a message.

        One far in the future is ignored: the clock would never return from it.

        :param wall_ms: wall part of the sender's timestamp, in milliseconds.
        :param counter: counter part of the sender's timestamp.
        :return: whether the timestamp is credible.
        """
        ahead_ms = wall_ms - self.clock.wall_ms()
        if ahead_ms > CLOCK_SKEW_LIMIT_MS or counter > COUNTER_LIMIT:
            return False
        if (wall_ms, counter) > (self._wall_ms, self._counter):
            self._wall_ms = wall_ms
            self._counter = counter
        return True
