"""Interface and registry of sources of configuration, targets and peers."""

import typing as t

import attrs

from snipedeal_direct.evacuation import Evacuations
from snipedeal_direct.gossip import FeedSnapshot
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.model import HeaderNames
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Target

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter


@attrs.frozen
class SourceEvents:
    """Callbacks through which a source informs the router.

    :param on_table: called with a route table and the document it was decoded
        from.
    :param on_target: called with a target's ID and its registration, ``None`` if
        it was removed.
    :param on_peer: called with a router's name and its ``host:port``, ``None`` if
        it was removed.
    :param on_reachability: called with whether the store is reachable, and the error or
        the topic that was read.
    :param on_records: called with records of a feed that were read from the
        store, so that the router sends them to its peers.
    :param evacuations: takes the operator's words on availability zones.
    """

    on_table: t.Callable[[RouteTable, bytes], None]
    on_target: t.Callable[[str, Target | None], None]
    on_peer: t.Callable[[str, str | None], None]
    on_reachability: t.Callable[[bool, str], None]
    on_records: t.Callable[[RecordsReport], None]
    evacuations: Evacuations


class Source(t.Protocol):
    """A platform adapter that supplies configuration, targets and peers."""

    headers: HeaderNames
    #: Names of the change feeds that carry the configuration and the targets.
    config_feed: str
    target_feed: str
    #: Whether the other routers that are registered have been reported.
    has_listed_routers: bool

    def start(self) -> None:
        """Start to follow changes at the platform."""

    async def close(self) -> None:
        """Deregister this router from the platform, and stop."""

    def apply_records(self, report: RecordsReport) -> None:
        """Apply records that a peer read, unless earlier ones are missing."""

    def snapshot(self, name: str) -> FeedSnapshot | None:
        """Return what is known from a feed, ``None`` if that is nothing."""

    def apply_snapshot(self, snapshot: FeedSnapshot) -> None:
        """Apply what a peer knows from a feed, unless this router knows more."""

    def read_table(self, document: bytes) -> RouteTable:
        """Decode the route table of a document that a peer sent."""


SourceFactory = t.Callable[["DirectRouter", SourceEvents], Source]

#: Source factories by adapter name.
SOURCES: dict[str, SourceFactory] = {}


def register_source(name: str) -> t.Callable[[SourceFactory], SourceFactory]:
    """Register a source factory under the adapter name used in the settings."""

    def decorate(factory: SourceFactory) -> SourceFactory:
        SOURCES[name] = factory
        return factory

    return decorate
