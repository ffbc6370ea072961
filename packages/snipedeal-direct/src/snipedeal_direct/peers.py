"""What routers tell each other: loads by datagram, configuration on request."""

import asyncio
import socket
import typing as t

import attrs
import msgspec

from snipedeal.exceptions import MessageError
from snipedeal.exceptions import SnipedealError
from snipedeal_direct import defaults
from snipedeal_direct.gossip import CustomerReport
from snipedeal_direct.gossip import Gossip
from snipedeal_direct.gossip import PartsReport
from snipedeal_direct.gossip import QueueReport
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.gossip import Report
from snipedeal_direct.gossip import TargetReport
from snipedeal_direct.gossip import pack
from snipedeal_direct.journal import debug
from snipedeal_direct.journal import note
from snipedeal_direct.journal import warn
from snipedeal_direct.load import Share
from snipedeal_direct.model import PromptPart
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.settings import split_address

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter

CONFIG_PATH = b"/config"


@attrs.define
class Peer:
    """Another router.

    :param heard_ms: when its last datagram came.
    :param version: configuration in force there.
    :param has_reach: whether its calls to the store succeed.
    """

    name: str
    address: tuple[str, int]
    heard_ms: float = 0.0
    version: int = -1
    has_reach: bool = False


@attrs.define
class _Told:
    """What peers were last told of something.

    :param times: how often it was told unchanged.
    """

    report: Report
    times: int = 1


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
        self._socket: socket.socket | None = None
        self._told: dict[tuple[str, ...], _Told] = {}
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
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(split_address(self._router.settings.peer))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_datagrams)
        self._tasks = [
            asyncio.create_task(self._tell(), name="peers"),
            asyncio.create_task(self._follow_config(), name="peer-config"),
        ]

    async def close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

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
            parts = tuple((part.id, part.tokens) for part in prompt.parts)
            self._parts.append(PartsReport(target.service, target.id, parts))

    def _read_datagrams(self) -> None:
        """Take all datagrams that have come.

        Datagram endpoints of asyncio take one in each round of the loop. On a
        busy router more come than that, and what it knows would grow old.
        """
        assert self._socket is not None
        for _ in range(defaults.PEER_READ_LIMIT):
            try:
                data, address = self._socket.recvfrom(defaults.PEER_RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # a datagram sent before met a closed port; its peer goes silent.
                debug("peer.unreachable", error=str(error))
                continue
            self.receive(data, address)

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
        peer.has_reach = gossip.has_reach
        self._router.following.hear(gossip.positions)
        for report in gossip.reports:
            self._apply(gossip.sender, report)

    # -- taking ------------------------------------------------------------------

    def _apply(self, sender: str, report: Report) -> None:
        if isinstance(report, RecordsReport):
            self._router.take_records(report)
            return
        queue = self._router.dispatcher.queues.get(report.service)
        if queue is None:
            return
        now_ms = self._clock.now_ms()
        match report:
            case TargetReport():
                load = queue.targets.get(report.target)
                if load is not None:
                    share = Share(report.reading, report.running, report.held)
                    load.set_peer(sender, share)
            case QueueReport():
                queue.peers_waiting[sender] = list(report.waiting)
                queue.peers_short_stage[sender] = report.short_stage
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
            queue.peers_short_stage.pop(name, None)
            queue.shares.drop_peer(name)
            for load in queue.targets.values():
                load.drop_peer(name)

    # -- telling -----------------------------------------------------------------

    @property
    def _scale(self) -> float:
        """Factor of all intervals, so that what a router hears stays bounded."""
        return max(1.0, len(self._peers) / defaults.PEER_FANOUT)

    async def _tell(self) -> None:
        while True:
            await asyncio.sleep(defaults.PEER_INTERVAL_MS * self._scale / 1000)
            now_ms = self._clock.now_ms()
            for peer in self._peers.values():
                if now_ms - peer.heard_ms > defaults.PEER_STALE_MS and peer.heard_ms:
                    peer.heard_ms = 0.0
                    note("peer.silent", peer=peer.name)
                    self._drop(peer.name)
            self._router.following.check(
                peer.name
                for peer in self._peers.values()
                if peer.heard_ms and peer.has_reach
            )
            self._send(self._collect(now_ms))

    def pass_on(self, report: RecordsReport) -> None:
        """Tell peers at once what was read at the store."""
        self._send([report])

    def _collect(self, now_ms: float) -> list[Report]:
        """Return what changed, or everything when a refresh is due."""
        is_refresh = (
            now_ms - self._refreshed_ms >= defaults.PEER_REFRESH_MS * self._scale
        )
        if is_refresh:
            self._refreshed_ms = now_ms
        reports: list[Report] = []
        for name, queue in self._router.dispatcher.queues.items():
            waiting = QueueReport(
                name,
                tuple(queue.waiting_by_slack(now_ms)),
                queue.short_stage(now_ms),
            )
            self._add(reports, ("q", name), waiting, is_refresh)
            for target_id, load in queue.targets.items():
                own = load.own
                report = TargetReport(
                    name, target_id, int(own.reading), own.running, int(own.held)
                )
                self._add(reports, ("t", name, target_id), report, is_refresh)
            for customer, asked, taken in queue.shares.own_changes(now_ms, is_refresh):
                reports.append(CustomerReport(name, customer, int(asked), int(taken)))
        reports += self._parts
        self._parts = []
        return reports

    def _add(
        self,
        reports: list[Report],
        key: tuple[str, ...],
        report: TargetReport | QueueReport,
        is_refresh: bool,
    ) -> None:
        """Add a report that changed, or that peers may have missed."""
        told = self._told.get(key)
        if told is None or told.report != report:
            self._told[key] = _Told(report)
        elif is_refresh and not (
            report.is_idle and told.times >= defaults.PEER_IDLE_REPEATS
        ):
            told.times += 1
        else:
            return
        reports.append(report)

    def _send(self, reports: list[Report]) -> None:
        if self._socket is None or not self._peers:
            return
        following = self._router.following
        header = Gossip(
            self._name,
            self._router.routing.version,
            following.positions,
            following.has_reach,
            [],
        )
        for data in pack(header, reports):
            for peer in self._peers.values():
                try:
                    self._socket.sendto(data, peer.address)
                except OSError as error:
                    # as good as lost: the next refresh tells it again.
                    debug("peer.not_sent", peer=peer.name, error=str(error))

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
