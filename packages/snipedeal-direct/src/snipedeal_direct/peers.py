"""What routers tell each other: loads by datagram, configuration on request."""

import asyncio
import typing as t

import attrs
import msgspec

from snipedeal.exceptions import MessageError
from snipedeal.exceptions import SnipedealError
from snipedeal_direct import defaults
from snipedeal_direct.journal import note
from snipedeal_direct.journal import warn
from snipedeal_direct.load import Share
from snipedeal_direct.model import PromptPart
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.settings import split_address

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter

CONFIG_PATH = b"/config"


class TargetReport(msgspec.Struct, array_like=True, tag="t"):
    """A router's own share of a target's load."""

    service: str
    target: str
    reading: int
    running: int
    held: int


class QueueReport(msgspec.Struct, array_like=True, tag="q"):
    """Prompt tokens that wait at a router, by when they must start."""

    service: str
    waiting: list[int]


class CustomerReport(msgspec.Struct, array_like=True, tag="c"):
    """What a customer asked for and was given at a router in the window."""

    service: str
    customer: str
    asked: int
    taken: int


class PartsReport(msgspec.Struct, array_like=True, tag="p"):
    """Prompt parts that a target was sent: identifiers and tokens."""

    service: str
    target: str
    parts: list[tuple[str, int]]


Report = TargetReport | QueueReport | CustomerReport | PartsReport


class Gossip(msgspec.Struct, array_like=True):
    """A datagram: what changed at a router since its last ones.

    :param version: configuration in force at the sender.
    """

    sender: str
    version: int
    reports: list[Report]


@attrs.define
class Peer:
    """Another router.

    :param heard_ms: when its last datagram came.
    :param version: configuration in force there.
    """

    name: str
    address: tuple[str, int]
    heard_ms: float = 0.0
    version: int = -1


class _Endpoint(asyncio.DatagramProtocol):
    """Hand datagrams on."""

    def __init__(self, peers: "Peers") -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, addr: t.Any) -> None:
        """Take a datagram."""
        self._peers.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Note that a peer has no port open; its share fades by itself."""


class Peers:
    """Know the other routers and their loads.

    A datagram holds whole values, so that a lost one is made good by the next
    refresh, and what a silent peer said fades.

    :param router: the router that it belongs to.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self._router = router
        self._clock = router.clock
        self._name = router.settings.name
        self._peers: dict[str, Peer] = {}
        self._decoder = msgspec.msgpack.Decoder(Gossip)
        self._encoder = msgspec.msgpack.Encoder()
        self._transport: asyncio.DatagramTransport | None = None
        self._sent: dict[tuple[str, ...], Report] = {}
        self._refreshed_ms = 0.0
        self._parts: list[PartsReport] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def count(self) -> int:
        """Other routers heard lately."""
        now_ms = self._clock.now_ms()
        return sum(
            1
            for peer in self._peers.values()
            if now_ms - peer.heard_ms <= defaults.PEER_STALE_MS
        )

    async def start(self) -> None:
        """Begin to tell and to listen."""
        loop = asyncio.get_running_loop()
        address = split_address(self._router.settings.peer)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Endpoint(self), local_addr=address
        )
        self._transport = transport
        self._tasks = [
            asyncio.create_task(self._tell(), name="peers"),
            asyncio.create_task(self._follow_config(), name="peer-config"),
        ]

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        if self._transport is not None:
            self._transport.close()

    def apply_peer(self, name: str, address: str | None) -> None:
        """Take a router's address, or that it has left."""
        if name == self._name:
            return
        if address is None:
            if self._peers.pop(name, None) is not None:
                note("peer.gone", peer=name)
                self._drop(name)
            return
        where = split_address(address)
        known = self._peers.get(name)
        if known is None or known.address != where:
            self._peers[name] = Peer(name, where)
            note("peer.known", peer=name, address=address)

    def note_sent(self, dispatched: Dispatched) -> None:
        """Note that the parts of a prompt were sent to a target."""
        target = dispatched.load.target
        prompt = dispatched.call.prompt
        if prompt is not None and self._peers:
            parts = [(part.id, part.tokens) for part in prompt.parts]
            self._parts.append(PartsReport(target.service, target.id, parts))

    def receive(self, data: bytes, address: tuple[str, int]) -> None:
        """Take a datagram of another router."""
        try:
            gossip = self._decoder.decode(data)
        except msgspec.MsgspecError as error:
            warn("peer.unreadable", error=str(error), size=len(data))
            return
        peer = self._peers.get(gossip.sender)
        if peer is None:
            # a router that started later than this one read the list.
            self.apply_peer(gossip.sender, f"{address[0]}:{address[1]}")
            peer = self._peers[gossip.sender]
        peer.heard_ms = self._clock.now_ms()
        peer.version = gossip.version
        for report in gossip.reports:
            self._apply(gossip.sender, report)
        self._router.dispatcher.schedule()

    # -- taking ------------------------------------------------------------------

    def _apply(self, sender: str, report: Report) -> None:
        queue = self._router.dispatcher.queues.get(report.service)
        if queue is None:
            return
        now_ms = self._clock.now_ms()
        match report:
            case TargetReport():
                load = queue.targets.get(report.target)
                if load is not None:
                    share = Share(report.reading, report.running, report.held)
                    load.peers[sender] = share
            case QueueReport():
                queue.peers_waiting[sender] = report.waiting
            case CustomerReport():
                queue.shares.note_peer(
                    sender, report.customer, report.asked, report.taken, now_ms
                )
            case PartsReport():
                load = queue.targets.get(report.target)
                if load is not None:
                    load.note_parts(PromptPart(*part) for part in report.parts)

    def _drop(self, name: str) -> None:
        for queue in self._router.dispatcher.queues.values():
            queue.peers_waiting.pop(name, None)
            for load in queue.targets.values():
                load.peers.pop(name, None)

    # -- telling -----------------------------------------------------------------

    async def _tell(self) -> None:
        while True:
            interval_ms = defaults.PEER_INTERVAL_MS * max(
                1.0, len(self._peers) / defaults.PEER_FANOUT
            )
            await asyncio.sleep(interval_ms / 1000)
            now_ms = self._clock.now_ms()
            for peer in self._peers.values():
                if now_ms - peer.heard_ms > defaults.PEER_STALE_MS and peer.heard_ms:
                    peer.heard_ms = 0.0
                    note("peer.silent", peer=peer.name)
                    self._drop(peer.name)
            self._send(self._collect(now_ms))

    def _collect(self, now_ms: float) -> list[Report]:
        """Return what changed, or everything when a refresh is due."""
        if now_ms - self._refreshed_ms >= defaults.PEER_REFRESH_MS:
            self._refreshed_ms = now_ms
            self._sent = {}
        reports: list[Report] = []
        for name, queue in self._router.dispatcher.queues.items():
            waiting = QueueReport(name, queue.waiting_by_slack(now_ms))
            self._add(reports, ("q", name), waiting)
            for target_id, load in queue.targets.items():
                own = load.own
                report = TargetReport(
                    name, target_id, int(own.reading), own.running, int(own.held)
                )
                self._add(reports, ("t", name, target_id), report)
            asked, taken = queue.shares.own(now_ms)
            for customer, units in asked.items():
                report = CustomerReport(
                    name, customer, int(units), int(taken.get(customer, 0))
                )
                self._add(reports, ("c", name, customer), report)
        reports += self._parts
        self._parts = []
        return reports

    def _add(self, reports: list[Report], key: tuple[str, ...], report: Report) -> None:
        if self._sent.get(key) != report:
            self._sent[key] = report
            reports.append(report)

    def _send(self, reports: list[Report]) -> None:
        if self._transport is None or not self._peers:
            return
        for data in self._pack(reports):
            for peer in self._peers.values():
                self._transport.sendto(data, peer.address)

    def _pack(self, reports: list[Report]) -> t.Iterator[bytes]:
        """Yield datagrams of bounded size; one at least, as a heartbeat."""
        version = self._router.routing.version
        start = 0
        while True:
            size = 0
            end = start
            while end < len(reports) and size < defaults.PEER_DATAGRAM_BYTES:
                size += len(self._encoder.encode(reports[end]))
                end += 1
            gossip = Gossip(self._name, version, reports[start:end])
            yield self._encoder.encode(gossip)
            start = end
            if start >= len(reports):
                return

    # -- configuration -------------------------------------------------------------

    async def _follow_config(self) -> None:
        """Ask a peer for a configuration that the store doesn't bring."""
        asked_at = -1
        while True:
            await asyncio.sleep(defaults.PEER_CONFIG_INTERVAL_MS / 1000)
            version = self._router.routing.version
            newer = [p for p in self._peers.values() if p.version > version]
            if version != asked_at or not newer:
                # the store mostly brings it before a peer has to be asked.
                asked_at = version
                continue
            peer = max(newer, key=lambda p: (p.version, p.heard_ms))
            try:
                async with asyncio.timeout(defaults.PEER_CONFIG_TIMEOUT_MS / 1000):
                    document = await self._fetch(peer)
            except (SnipedealError, TimeoutError) as error:
                warn("peer.config_failed", peer=peer.name, error=str(error))
                continue
            self._router.apply_document(document, f"peer {peer.name}")

    async def _fetch(self, peer: Peer) -> bytes:
        connection = await self._router.pool.connect(peer.address)
        try:
            connection.send(b"GET %s HTTP/1.1\r\nhost: peer\r\n\r\n" % CONFIG_PATH)
            head = await connection.head()
            if head.status != 200:
                raise MessageError(f"status {head.status}", "peer-config", peer.name)
            parts = []
            while data := await connection.read():
                parts.append(data)
            return b"".join(parts)
        finally:
            self._router.pool.give_back(connection)
