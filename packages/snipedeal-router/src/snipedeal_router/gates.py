"""State of the gates as seen by a router.

A gate is the part of a target's agent that admits requests to the target's slots. It
is addressed by the name of the target in the VM list.
"""

import attrs

from snipedeal import defaults
from snipedeal.membership import Membership
from snipedeal.messages import CapacityReport
from snipedeal.placement import Candidate
from snipedeal.transport import Transport

_UP = "up"
_PAUSED = "paused"


@attrs.define
class _GateView:
    """Last reported state of one gate, and the attempts of this router there.

    :param state: state in the last report, ``up`` before the first.
    :param free: number of free slots in the last report, one before the first.
    :param busy_until_ms: monotonic time before which the gate gets no request
        without an offer, because it declined or did not run one.
    """

    state: str = _UP
    free: int = 1
    busy_until_ms: int = 0
    paused_until_ms: int = 0
    attempts: set[str] = attrs.Factory(set)


@attrs.define
class Gates:
    """Track the gates of all services as seen by this router."""

    membership: Membership
    transport: Transport
    _views: dict[str, _GateView] = attrs.Factory(dict)

    def update_capacity(self, gate: str, message: CapacityReport, now_ms: int) -> None:
        """Store the state and free slots that a gate reported.

        :param now_ms: monotonic time.
        """
        view = self._view(gate)
        view.paused_until_ms = now_ms + message.pause_ms
        view.state = message.state
        view.free = message.free

    def note_busy(self, gate: str, now_ms: int) -> None:
        """Pause immediate dispatch to a gate that declined or did not run a request.

        :param now_ms: monotonic time.
        """
        self._view(gate).busy_until_ms = now_ms + defaults.BUSY_GATE_BACKOFF_MS

    def note_reset(self, gate: str) -> None:
        """Reset the state of a gate that restarted; it is assumed to be up."""
        view = self._view(gate)
        view.state = _UP
        view.busy_until_ms = 0

    def add_attempt(self, gate: str, attempt: str) -> None:
        """Add an attempt at a gate and enable heartbeats on its link."""
        self._view(gate).attempts.add(attempt)
        self.transport.set_heartbeats(gate, True)

    def remove_attempt(self, gate: str, attempt: str) -> None:
        """Remove an attempt; after the last one, disable heartbeats."""
        view = self._view(gate)
        view.attempts.discard(attempt)
        if not view.attempts:
            self.transport.set_heartbeats(gate, False)

    def usable(self, service: str) -> list[str]:
        """Return the gates of a service that may get offers."""
        return [
            vm.name
            for vm in self.membership.targets(service)
            if self._view(vm.name).state == _UP and not self.transport.is_lost(vm.name)
        ]

    def pause_ms(self, service: str, now_ms: int) -> int:
        """Return the time until a gate takes requests again, if all targets pause.

        :param now_ms: monotonic time.
        """
        views = [self._view(vm.name) for vm in self.membership.targets(service)]
        if not views or any(view.state != _PAUSED for view in views):
            return 0
        return max(0, min(view.paused_until_ms for view in views) - now_ms)

    def candidates(self, service: str, now_ms: int) -> list[Candidate]:
        """Return the gates to which a request may be dispatched immediately.

        :param now_ms: monotonic time.
        """
        found = []
        for vm in self.membership.targets(service):
            view = self._view(vm.name)
            is_usable = view.state == _UP and not self.transport.is_lost(vm.name)
            if is_usable and view.busy_until_ms <= now_ms:
                found.append(Candidate(vm.name, vm.zone, len(view.attempts), view.free))
        return found

    def lost(self) -> list[str]:
        """Return the gates in the VM list whose links are lost."""
        return [
            name
            for name in self._views
            if self.transport.is_lost(name) and self.membership.find(name)
        ]

    def forget_removed(self) -> None:
        """Delete gates that left the VM list and run no attempt of this router."""
        for name in list(self._views):
            if not self._views[name].attempts and not self.membership.find(name):
                del self._views[name]

    def _view(self, gate: str) -> _GateView:
        return self._views.setdefault(gate, _GateView())
