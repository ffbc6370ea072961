"""What a process knows of the VM list, which comes late and may be cut off.

A view is the platform's list with the platform's own time. Peers relay the
names of leaving VMs with that time, so that a process that can't reach the
list still learns who leaves; the newer statement about a VM wins.
"""

import typing as t

import attrs

ROUTER = "router"
TARGET = "target"
LIVE = "live"
LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One entry of the VM list.

    :param name: unique among VMs that are listed at one time.
    :param role: ``router`` or ``target``.
    :param service: the service that a target runs, empty for a router.
    :param address: where the project's process on the VM listens.
    :param http: ``host:port`` of that process's HTTP side.
    :param state: ``live`` or ``leaving``.
    """

    name: str
    role: str
    zone: str
    address: str
    service: str = ""
    http: str = ""
    state: str = LIVE
    region: str = ""


@attrs.frozen
class VmList:
    """The platform's answer.

    :param as_of_ms: the platform's wall time at which it was true.
    """

    as_of_ms: int
    vms: list[Vm]


@attrs.define
class Membership:
    """The newest view of the VM list, with relayed news of leaving VMs.

    :param own_name: name of the VM that this process runs on.
    """

    own_name: str
    _vms: dict[str, Vm] = attrs.Factory(dict)
    _as_of_ms: int = 0
    _leaving: dict[str, int] = attrs.Factory(dict)
    _heard_at_ms: int | None = None
    _heard_as_of_ms: int = 0

    @property
    def as_of_ms(self) -> int:
        """The platform's time of the newest own reading."""
        return self._as_of_ms

    @property
    def heard_as_of_ms(self) -> int:
        """The platform's time of the newest reading, own or relayed."""
        return self._heard_as_of_ms

    def apply(self, listing: VmList, now_ms: int) -> bool:
        """Take a reading of the list; an older one is ignored.

        :param now_ms: monotonic time.
        :return: whether the set of VMs or their states changed.
        """
        if listing.as_of_ms < self._as_of_ms:
            return False
        self._note_heard(listing.as_of_ms, now_ms)
        self._as_of_ms = listing.as_of_ms
        before = (self._vms, self.leaving())
        self._vms = {vm.name: vm for vm in listing.vms}
        for vm in listing.vms:
            self._note_state(vm.name, vm.state == LEAVING, listing.as_of_ms)
        self._leaving = {
            name: time for name, time in self._leaving.items() if name in self._vms
        }
        return before != (self._vms, self.leaving())

    def apply_relay(self, as_of_ms: int, leaving: t.Iterable[str], now_ms: int) -> bool:
        """Take a peer's statement of who is leaving.

        :param as_of_ms: the platform's time of the peer's reading.
        :param now_ms: monotonic time.
        :return: whether a state changed.
        """
        before = self.leaving()
        self._note_heard(as_of_ms, now_ms)
        leaving = set(leaving)
        for name in {*leaving, *self._leaving}:
            self._note_state(name, name in leaving, as_of_ms)
        return before != self.leaving()

    def leaving(self) -> list[str]:
        """Return the names of the VMs known to be leaving."""
        return sorted(self._leaving)

    def is_leaving(self, name: str) -> bool:
        """Whether a VM is known to be leaving."""
        return name in self._leaving

    def is_stale(self, now_ms: int, limit_ms: int) -> bool:
        """Whether nothing new of the list was heard for too long.

        :param now_ms: monotonic time.
        :param limit_ms: the longest time allowed.
        """
        return self._heard_at_ms is None or now_ms - self._heard_at_ms > limit_ms

    def find(self, name: str) -> Vm | None:
        """Return a VM by name."""
        return self._vms.get(name)

    def routers(self) -> list[Vm]:
        """Return the routers that are not leaving."""
        return self._select(ROUTER, "")

    def targets(self, service: str) -> list[Vm]:
        """Return the targets of a service that are not leaving."""
        return self._select(TARGET, service)

    def others(self) -> list[Vm]:
        """Return all VMs but the own one."""
        return [vm for vm in self._vms.values() if vm.name != self.own_name]

    def _select(self, role: str, service: str) -> list[Vm]:
        return [
            vm
            for vm in self._vms.values()
            if vm.role == role
            and vm.service == service
            and vm.name not in self._leaving
        ]

    def _note_heard(self, as_of_ms: int, now_ms: int) -> None:
        if self._heard_at_ms is None or as_of_ms > self._heard_as_of_ms:
            self._heard_at_ms = now_ms
            self._heard_as_of_ms = as_of_ms

    def _note_state(self, name: str, is_leaving: bool, as_of_ms: int) -> None:
        known_ms = self._leaving.get(name)
        if is_leaving:
            self._leaving[name] = max(as_of_ms, known_ms or 0)
        elif known_ms is not None and as_of_ms > known_ms:
            del self._leaving[name]
