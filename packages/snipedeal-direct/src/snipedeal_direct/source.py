"""Where a router learns configuration, targets and peers; adapters register."""

import typing as t

import attrs

from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.model import HeaderNames
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Target

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter


@attrs.frozen
class SourceEvents:
    """What a source tells the router.

    :param on_table: a route table, and the document that it was read from.
    :param on_target: a target's id, and its entry or ``None`` if it is gone.
    :param on_peer: a router's name, and its ``host:port`` or ``None``.
    :param on_reach: whether the store can be reached, and why not.
    :param on_records: records of a feed that were read at the store, to be
        passed on to other routers.
    """

    on_table: t.Callable[[RouteTable, bytes], None]
    on_target: t.Callable[[str, Target | None], None]
    on_peer: t.Callable[[str, str | None], None]
    on_reach: t.Callable[[bool, str], None]
    on_records: t.Callable[[RecordsReport], None]


class Source(t.Protocol):
    """A way to learn what the fleet has to know."""

    headers: HeaderNames

    def start(self) -> None:
        """Begin to follow the platform."""

    async def close(self) -> None:
        """Tell the platform that this router leaves, and stop."""

    def take_records(self, report: RecordsReport) -> None:
        """Take records that another router read, unless some before are missing."""

    def read_table(self, document: bytes) -> RouteTable:
        """Return the route table of a document that a peer passed on."""


SourceFactory = t.Callable[["DirectRouter", SourceEvents], Source]

#: Factories of sources by the name of the adapter.
SOURCES: dict[str, SourceFactory] = {}


def register_source(name: str) -> t.Callable[[SourceFactory], SourceFactory]:
    """Register a factory of sources under a name that settings may give."""

    def decorate(factory: SourceFactory) -> SourceFactory:
        SOURCES[name] = factory
        return factory

    return decorate
