"""What a router knows of the gates."""

import attrs

from snipedeal import defaults
from snipedeal.membership import Membership
from snipedeal.messages import Load
from snipedeal.placement import Candidate
from snipedeal.transport import Transport

_UP = "up"


@attrs.define
class _View:
    """The last news of one gate."""

    state: str = _UP
    free: int = 1
    busy_until_ms: int = 0
    attempts: set[str] = attrs.Factory(set)


@attrs.define
class Gates:
    """The gates of all services, as far as this router has dealt with them."""

    membership: Membership
    transport: Transport
    _views: dict[str, _View] = attrs.Factory(dict)

    def take_load(self, gate: str, message: Load) -> None:
        """Take a gate's report."""
        view = self._view(gate)
        view.state = message.state
        view.free = message.free

    def note_busy(self, gate: str, now_ms: int) -> None:
        """Note that a gate declined, so that it is not tried for a while."""
        self._view(gate).busy_until_ms = now_ms + defaults.BUSY_GATE_PAUSE_MS

    def note_reset(self, gate: str) -> None:
        """Note that a gate started anew; it is taken to be up."""
        view = self._view(gate)
        view.state = _UP
        view.busy_until_ms = 0

    def add_attempt(self, gate: str, attempt: str) -> None:
        """Count an attempt at a gate and watch its link."""
        self._view(gate).attempts.add(attempt)
        self.transport.watch(gate, True)

    def remove_attempt(self, gate: str, attempt: str) -> None:
        """Count an attempt no more."""
        view = self._view(gate)
        view.attempts.discard(attempt)
        if not view.attempts:
            self.transport.watch(gate, False)

    def usable(self, service: str) -> list[str]:
        """Return the gates that work may be offered to."""
        return [
            vm.name
            for vm in self.membership.targets(service)
            if self._view(vm.name).state == _UP and not self.transport.is_lost(vm.name)
        ]

    def candidates(self, service: str, now_ms: int) -> list[Candidate]:
        """Return the gates that a request may be sent to without asking.

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
        """Return live gates whose links are lost."""
        return [
            name
            for name in self._views
            if self.transport.is_lost(name) and self.membership.find(name)
        ]

    def forget_gone(self) -> None:
        """Drop views of gates that left the VM list and run nothing of ours."""
        for name in list(self._views):
            if not self._views[name].attempts and not self.membership.find(name):
                del self._views[name]

    def _view(self, gate: str) -> _View:
        return self._views.setdefault(gate, _View())
