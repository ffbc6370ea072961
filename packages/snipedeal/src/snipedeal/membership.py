"""Track the VMs of the fleet from a list that may be stale or unreachable.

The platform returns the VM list with the time at which it was current. Peers relay
the names of the leaving VMs with that time, so that a process that can't reach
the platform still learns which VMs are leaving. The newest report about a VM wins.
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

    :param name: unique among the VMs of one list.
    :param role: ``router`` or ``target``.
    :param service: the service that a target runs, empty for a router.
    :param address: peer address of the snipedeal process on the VM.
    :param http: ``host:port`` of that process's HTTP server.
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
    """The VM list as returned by the platform.

    :param as_of_ms: the platform's wall time at which the list was current.
    """

    as_of_ms: int
    vms: list[Vm]


@attrs.define
class Membership:
    """The newest VM list that was read, and the VMs reported as leaving.

    :param own_name: name of the VM that this process runs on.
    """

    own_name: str
    _vms: dict[str, Vm] = attrs.Factory(dict)
    _as_of_ms: int = 0
    _leaving: dict[str, int] = attrs.Factory(dict)
    _updated_at_ms: int | None = None
    _newest_as_of_ms: int = 0

    @property
    def as_of_ms(self) -> int:
        """The platform's time of the newest list that this process read."""
        return self._as_of_ms

    @property
    def newest_as_of_ms(self) -> int:
        """The platform's time of the newest list, read here or relayed by a peer."""
        return self._newest_as_of_ms

    def apply(self, vm_list: VmList, now_ms: int) -> bool:
        """Apply a VM list; one older than the current list is ignored.

        :param now_ms: monotonic time.
        :return: whether the set of VMs or their states changed.
        """
        if vm_list.as_of_ms < self._as_of_ms:
            return False
        self._record_update(vm_list.as_of_ms, now_ms)
        self._as_of_ms = vm_list.as_of_ms
        before = (self._vms, self.leaving())
        self._vms = {vm.name: vm for vm in vm_list.vms}
        for vm in vm_list.vms:
            self._update_leaving(vm.name, vm.state == LEAVING, vm_list.as_of_ms)
        self._leaving = {
            name: time for name, time in self._leaving.items() if name in self._vms
        }
        return before != (self._vms, self.leaving())

    def apply_peer_view(
        self, as_of_ms: int, leaving: t.Iterable[str], now_ms: int
    ) -> bool:
        """Apply a peer's report of the leaving VMs.

        :param as_of_ms: the platform's time of the list that the peer has.
        :param leaving: names of the leaving VMs.
        :param now_ms: monotonic time.
        :return: whether the set of leaving VMs changed.
        """
        before = self.leaving()
        self._record_update(as_of_ms, now_ms)
        leaving = set(leaving)
        for name in {*leaving, *self._leaving}:
            self._update_leaving(name, name in leaving, as_of_ms)
        return before != self.leaving()

    def leaving(self) -> list[str]:
        """Return the names of the VMs known to be leaving."""
        return sorted(self._leaving)

    def is_leaving(self, name: str) -> bool:
        """Whether a VM is known to be leaving."""
        return name in self._leaving

    def is_stale(self, now_ms: int, limit_ms: int) -> bool:
        """Whether no newer list was read or relayed within a time limit.

        :param now_ms: monotonic time.
        :param limit_ms: the longest time allowed without a newer list.
        """
        return self._updated_at_ms is None or now_ms - self._updated_at_ms > limit_ms

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
        """Return all VMs except the one of this process."""
        return [vm for vm in self._vms.values() if vm.name != self.own_name]

    def _select(self, role: str, service: str) -> list[Vm]:
        return [
            vm
            for vm in self._vms.values()
            if vm.role == role
            and vm.service == service
            and vm.name not in self._leaving
        ]

    def _record_update(self, as_of_ms: int, now_ms: int) -> None:
        if self._updated_at_ms is None or as_of_ms > self._newest_as_of_ms:
            self._updated_at_ms = now_ms
            self._newest_as_of_ms = as_of_ms

    def _update_leaving(self, name: str, is_leaving: bool, as_of_ms: int) -> None:
        known_ms = self._leaving.get(name)
        if is_leaving:
            self._leaving[name] = max(as_of_ms, known_ms or 0)
        elif known_ms is not None and as_of_ms > known_ms:
            del self._leaving[name]
