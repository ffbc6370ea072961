"""Know which availability zones the operator has evacuated.

Nothing is sent to the targets of an evacuated zone until the operator takes it back.
The store's word reaches a router by its own reads, by records that readers forward, and
by what every peer repeats, so that one that the store turns away, or that started
meanwhile, has it within a report interval. Revisions tell which word is the later one.

The module performs no I/O and reads no clock. See docs/design/cold-targets.md.
"""

import typing as t

import attrs

from snipedeal_direct import defaults

#: Era of the store and offset in its feed up to which a word is known.
Revision = tuple[int, int]


@attrs.frozen
class Evacuation:
    """What is known of one availability zone.

    :param is_active: whether nothing may be sent to its targets.
    """

    is_active: bool
    revision: Revision


@attrs.define(eq=False, repr=False)
class Evacuations:
    """The newest word of the operator on each availability zone.

    :param on_change: called with a zone and whether it is evacuated, when that changes.
    """

    on_change: t.Callable[[str, bool], None] = lambda zone, is_active: None
    _zones: dict[str, Evacuation] = attrs.Factory(dict)

    def is_evacuated(self, zone: str) -> bool:
        """Return whether nothing may be sent to the targets of a zone."""
        known = self._zones.get(zone)
        return known is not None and known.is_active

    def apply(self, zone: str, is_active: bool, revision: Revision) -> bool:
        """Apply a word on a zone unless a later one is known.

        :return: whether the zone's state has changed.
        """
        known = self._zones.get(zone)
        if known is not None and revision < known.revision:
            return False
        if known is None and not self._has_room():
            return False
        before = self.is_evacuated(zone)
        self._zones[zone] = Evacuation(is_active, revision)
        if is_active != before:
            self.on_change(zone, is_active)
        return is_active != before

    def _has_room(self) -> bool:
        """Return whether one more zone can be kept; forget the oldest lifted one."""
        if len(self._zones) < defaults.EVACUATIONS_LIMIT:
            return True
        lifted = [zone for zone, known in self._zones.items() if not known.is_active]
        if not lifted:
            return False
        del self._zones[min(lifted, key=lambda zone: self._zones[zone].revision)]
        return True

    def apply_listing(self, zones: t.Collection[str], revision: Revision) -> None:
        """Apply a listing of all zones that are evacuated.

        A zone that is missing was taken back, unless the listing is of another era: the
        store may have returned from a copy that is older than the operator's word, and
        the operator writes that again.
        """
        for zone in zones:
            self.apply(zone, True, revision)
        for zone, known in list(self._zones.items()):
            if zone not in zones and known.revision[0] == revision[0]:
                self.apply(zone, False, revision)

    def report(self) -> dict[str, tuple[bool, int, int]]:
        """Return what is known, for peers."""
        return {
            zone: (known.is_active, *known.revision)
            for zone, known in self._zones.items()
        }

    def apply_report(self, zones: t.Mapping[str, tuple[bool, int, int]]) -> None:
        """Apply what a peer knows."""
        for zone, (is_active, era, offset) in zones.items():
            self.apply(zone, is_active, (era, offset))
