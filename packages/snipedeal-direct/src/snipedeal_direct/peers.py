"""Exchange loads with other routers by UDP gossip, and configuration over HTTP."""

import asyncio
import socket
import typing as t

import attrs
import msgspec

from snipedeal.decoding import DECODING_ERRORS
from snipedeal.decoding import decode
from snipedeal.decoding import is_name
from snipedeal.decoding import split_endpoint
from snipedeal.exceptions import MessageError
from snipedeal.exceptions import SnipedealError
from snipedeal.exceptions import UnreadableError
from snipedeal.utils import rank_by_rendezvous
from snipedeal_direct import defaults
from snipedeal_direct.following import Position
from snipedeal_direct.gossip import CrashReport
from snipedeal_direct.gossip import CustomerReport
from snipedeal_direct.gossip import FeedSnapshot
from snipedeal_direct.gossip import Gossip
from snipedeal_direct.gossip import LeavingReport
from snipedeal_direct.gossip import LimitReport
from snipedeal_direct.gossip import PartsReport
from snipedeal_direct.gossip import QueueReport
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.gossip import Report
from snipedeal_direct.gossip import StoreSpan
from snipedeal_direct.gossip import TargetReport
from snipedeal_direct.gossip import pack
from snipedeal_direct.journal import debug
from snipedeal_direct.journal import info
from snipedeal_direct.journal import warning
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.meter import Work
from snipedeal_direct.model import Target
from snipedeal_direct.queueing import Dispatched
from snipedeal_direct.reporting import apply_target_report
from snipedeal_direct.reporting import make_limit_report
from snipedeal_direct.reporting import make_target_report
from snipedeal_direct.settings import split_address
from snipedeal_direct.tasks import supervise

if t.TYPE_CHECKING:
    from snipedeal_direct.router import DirectRouter

CONFIG_PATH = b"/config"
#: Path of a feed's snapshot, followed by the feed's name.
FEED_PATH = b"/feeds/"


@attrs.define
class Peer:
    """Another router.

    :param heard_ms: monotonic time of its last datagram; 0 before the first one
        and once the peer counts as silent.
    :param version: version of the configuration in force there.
    :param is_store_reachable: whether its calls to the store succeed.
    :param positions: positions that it announced last, by change feed.
    :param is_short: whether it refuses most calls for want of processor time.
    """

    name: str
    address: tuple[str, int]
    heard_ms: float = 0.0
    version: int = -1
    is_store_reachable: bool = False
    positions: dict[str, Position] = attrs.Factory(dict)
    is_short: bool = False


@attrs.define
class _SentReport:
    """The report last sent to peers about one target or queue.

    :param send_count: number of times that it was sent unchanged.
    """

    report: Report
    send_count: int = 1


class Peers:
    """Track the other routers and exchange loads with them.

    Loads, queues and customers' usage are reported as absolute values rather than
    differences, so that the next refresh repairs the loss of a datagram; they are
    dropped when their sender falls silent. Crashes, rate limits and the leaving of
    targets are repeated with each refresh by a few routers that know of them. Reports
    of prompt parts and of records from the store are not repeated.

    :param router: the router that owns this object.
    """

    def __init__(self, router: "DirectRouter") -> None:
        self._router = router
        self._clock = router.clock
        self._name = router.settings.name
        self._peers: dict[str, Peer] = {}
        self._decoder = msgspec.msgpack.Decoder(Gossip)
        self._snapshot_decoder = msgspec.msgpack.Decoder(FeedSnapshot)
        self._socket: socket.socket | None = None
        self._sent_reports: dict[tuple[str, ...], _SentReport] = {}
        self._last_refresh_ms = 0.0
        self._parts_reports: list[PartsReport] = []
        # Targets whose rate limits are still to be sent again, and how often.
        self._limit_resends: dict[str, int] = {}
        # The same for the instances of targets that leave, with their services.
        self._leaving_resends: dict[str, int] = {}
        self._leaving_services: dict[str, str] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._fetch_task: asyncio.Task[None] | None = None
        # Called with the peer and its report, by the type of the report.
        self._appliers: dict[type[Report], t.Callable[[Peer, t.Any], None]] = {
            TargetReport: self._apply_target,
            QueueReport: self._apply_queue,
            CustomerReport: self._apply_customer,
            PartsReport: self._apply_parts,
            RecordsReport: self._apply_records,
            CrashReport: self._apply_crash,
            LimitReport: self._apply_limit,
            LeavingReport: self._apply_leaving,
        }

    @property
    def live_count(self) -> int:
        """Number of other routers heard from within ``PEER_STALE_MS``."""
        return len(self.live_names) - 1

    @property
    def live_names(self) -> list[str]:
        """Names of this router and of those heard from lately."""
        now_ms = self._clock.now_ms()
        return [
            self._name,
            *(
                peer.name
                for peer in self._peers.values()
                if now_ms - peer.heard_ms <= defaults.PEER_STALE_MS
            ),
        ]

    @property
    def known_names(self) -> list[str]:
        """Names of this router and of all that are registered, heard or not."""
        return [self._name, *self._peers]

    @property
    def most_have_time(self) -> bool:
        """Whether there are other routers and few of them are short of time."""
        now_ms = self._clock.now_ms()
        short = [
            peer.is_short
            for peer in self._peers.values()
            if now_ms - peer.heard_ms <= defaults.PEER_STALE_MS
        ]
        with_time = len(short) - sum(short)
        return with_time > 0 and with_time >= defaults.PEERS_WITH_TIME_FRACTION * (
            len(short) + 1
        )

    @property
    def has_heard_all(self) -> bool:
        """Whether every other router that is known has been heard from lately."""
        return all(peer.heard_ms for peer in self._peers.values())

    async def start(self) -> None:
        """Open the UDP socket and start sending and receiving."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(split_address(self._router.settings.peer))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read_datagrams)
        self._tasks = [
            supervise(self._gossip_loop, "peers", self._router.metrics),
            supervise(self._poll_config, "peer-config", self._router.metrics),
            supervise(self._poll_feeds, "peer-feeds", self._router.metrics),
        ]

    async def close(self) -> None:
        """Stop the tasks and close the socket."""
        for task in (*self._tasks, self._fetch_task):
            if task is not None:
                task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def apply_peer(self, name: str, address: str | None) -> None:
        """Add a router, change its address, or remove it if ``address`` is ``None``."""
        if name == self._name:
            return
        if address is None:
            if self._peers.pop(name, None) is not None:
                info("peer.gone", peer=name)
                self._drop_peer_state(name)
            return
        try:
            parsed_address = split_endpoint(address, is_numeric=True)
        except UnreadableError as error:
            self._router.metrics.odd_entries.labels("routers").inc()
            warning("peer.unreadable", peer=name[:80], error=error.message)
            return
        known = self._peers.get(name)
        if known is None or known.address != parsed_address:
            self._peers[name] = Peer(name, parsed_address)
            info("peer.known", peer=name, address=address)

    def queue_prompt_parts(self, dispatched: Dispatched) -> None:
        """Queue a report of the prompt parts that were sent to a target."""
        target = dispatched.load.target
        prompt = dispatched.call.prompt
        if prompt is not None and self._peers:
            parts = tuple((part.id, part.tokens) for part in prompt.parts)
            self._parts_reports.append(PartsReport(target.service, target.id, parts))

    # -- receiving -------------------------------------------------------------

    def _read_datagrams(self) -> None:
        """Read all pending datagrams, up to ``PEER_READ_LIMIT``.

        asyncio's datagram endpoints read one datagram per iteration of the event
        loop. A busy router receives more than that, so its view of the other
        routers would become stale.
        """
        began = self._router.meter.begin()
        self._read_pending()
        self._router.meter.end(Work.REPORTS, began)

    def _read_pending(self) -> None:
        assert self._socket is not None
        for _ in range(defaults.PEER_READ_LIMIT):
            try:
                data, address = self._socket.recvfrom(defaults.PEER_RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An ICMP error for an earlier datagram: the port of a peer is closed.
                # The peer is dropped once it has been silent for PEER_STALE_MS.
                debug("peer.unreachable", error=str(error))
                continue
            self.receive(data, address)

    def receive(self, data: bytes, address: tuple[str, int]) -> None:
        """Apply a datagram from another router."""
        try:
            gossip = decode(self._decoder.decode, data)
        except UnreadableError as error:
            self._note_unreadable(error.message, address, len(data))
            return
        if not is_name(gossip.sender):
            self._note_unreadable("no name of the sender", address, len(data))
            return
        peer = self._peers.get(gossip.sender)
        if peer is None:
            # It registered after this router had read the list of routers.
            self.apply_peer(gossip.sender, f"{address[0]}:{address[1]}")
            peer = self._peers[gossip.sender]
        is_new = not peer.heard_ms
        peer.heard_ms = self._clock.now_ms()
        if is_new:
            self.broadcast(self._collect_findings(is_refresh=True))
        peer.version = gossip.version
        peer.is_store_reachable = gossip.is_store_reachable
        peer.is_short = gossip.is_short
        self._router.dispatcher.restrictions.evacuations.apply_report(
            gossip.evacuations
        )
        self._apply_store_span(gossip, peer.heard_ms)
        peer.positions = self._router.feed_tracker.note_peer_positions(
            gossip.positions, gossip.eras
        )
        for report in gossip.reports:
            try:
                self._appliers[type(report)](peer, report)
            except DECODING_ERRORS as error:
                self._note_unreadable(str(error)[:200], address, len(data))

    def _apply_store_span(self, gossip: Gossip, now_ms: float) -> None:
        """Apply what a peer knows of answers and failures of the store."""
        availability = self._router.store_availability
        if not gossip.is_store_reachable:
            availability.note_failure(now_ms)
        span = gossip.store_span
        if span is None:
            return
        if span.era > -1:
            availability.note_era(span.era, now_ms - span.era_age_ms)
        answered_ms = now_ms - span.age_ms
        if availability.merge(answered_ms - span.length_ms, answered_ms):
            info("store.outage_ended", origin=gossip.sender, age_ms=span.age_ms)

    def _own_store_span(self) -> StoreSpan | None:
        availability = self._router.store_availability
        if availability.since_ms is None:
            return None
        now_ms = self._clock.now_ms()
        age_ms = max(0, int(now_ms - availability.answered_ms))
        length_ms = int(availability.answered_ms - availability.since_ms)
        if availability.era < 0:
            return StoreSpan(age_ms, length_ms)
        era_age_ms = max(0, int(availability.restored_ms(now_ms)))
        return StoreSpan(age_ms, length_ms, availability.era, era_age_ms)

    def _note_unreadable(
        self, reason: str, address: tuple[str, int], size: int
    ) -> None:
        self._router.metrics.odd_entries.labels("datagrams").inc()
        host, port = address
        warning("peer.unreadable", peer=f"{host}:{port}", error=reason, size=size)

    def _apply_records(self, peer: Peer, report: RecordsReport) -> None:
        self._router.apply_records(report, peer.name)

    def _apply_crash(self, _: Peer, report: CrashReport) -> None:
        self._router.crashes.apply(report)

    def _apply_leaving(self, peer: Peer, report: LeavingReport) -> None:
        # Also of a target that this router does not know yet.
        self._leaving_services[report.instance] = report.service
        self._router.dispatcher.apply_peer_leaving(
            report.instance, report.service, peer.heard_ms - report.age_ms, peer.name
        )

    def _apply_target(self, peer: Peer, report: TargetReport) -> None:
        queue = self._router.dispatcher.queues.get(report.service)
        if queue is not None:
            load = queue.targets.get(report.target)
            if load is not None:
                apply_target_report(load, peer.name, report, peer.heard_ms)

    def _apply_queue(self, peer: Peer, report: QueueReport) -> None:
        queue = self._router.dispatcher.queues.get(report.service)
        if queue is not None:
            queue.peers_queued_tokens[peer.name] = list(report.queued_tokens)
            queue.peers_underserved_stage[peer.name] = report.underserved_stage

    def _apply_customer(self, peer: Peer, report: CustomerReport) -> None:
        queue = self._router.dispatcher.queues.get(report.service)
        if queue is not None:
            queue.shares.note_peer(
                peer.name, report.customer, report.demand, report.served, peer.heard_ms
            )

    def _apply_limit(self, peer: Peer, report: LimitReport) -> None:
        load = self._find_load(report)
        if load is not None and load.target.started_ms == report.started_ms:
            seen_ms = peer.heard_ms - report.age_ms
            self._router.dispatcher.apply_peer_limit(
                load, report.limit, seen_ms, peer.name
            )

    def _apply_parts(self, peer: Peer, report: PartsReport) -> None:
        load = self._find_load(report)
        if load is not None:
            load.note_reported_parts(report.parts)

    def _find_load(self, report: LimitReport | PartsReport) -> TargetLoad | None:
        """Return the load of the target of a report, ``None`` if it is not known."""
        queue = self._router.dispatcher.queues.get(report.service)
        return None if queue is None else queue.targets.get(report.target)

    def _drop_peer_state(self, name: str) -> None:
        for queue in self._router.dispatcher.queues.values():
            queue.peers_queued_tokens.pop(name, None)
            queue.peers_underserved_stage.pop(name, None)
            queue.shares.drop_peer(name)
            for load in queue.targets.values():
                load.drop_peer(name)

    # -- sending ---------------------------------------------------------------

    @property
    def _interval_factor(self) -> float:
        """Factor of the send intervals; bounds the datagrams received per second."""
        return max(1.0, len(self._peers) / defaults.FULL_RATE_PEERS)

    async def _gossip_loop(self) -> None:
        while True:
            await asyncio.sleep(
                defaults.PEER_INTERVAL_MS * self._interval_factor / 1000
            )
            now_ms = self._clock.now_ms()
            for peer in self._peers.values():
                if now_ms - peer.heard_ms > defaults.PEER_STALE_MS and peer.heard_ms:
                    peer.heard_ms = 0.0
                    info("peer.silent", peer=peer.name)
                    self._drop_peer_state(peer.name)
            self._router.feed_tracker.update_role(
                peer.name
                for peer in self._peers.values()
                if peer.heard_ms and peer.is_store_reachable
            )
            began = self._router.meter.begin()
            self.broadcast(self._collect_reports(now_ms), is_heartbeat=True)
            self._router.meter.end(Work.REPORTS, began)

    def forward_records(self, report: RecordsReport) -> None:
        """Send records that were read from the store to all peers at once."""
        self.broadcast([report])

    def _collect_reports(self, now_ms: float) -> list[Report]:
        """Return reports of what changed, or of everything when a refresh is due."""
        is_refresh = (
            now_ms - self._last_refresh_ms
            >= defaults.PEER_REFRESH_MS * self._interval_factor
        )
        if is_refresh:
            self._last_refresh_ms = now_ms
        reports: list[Report] = []
        for name, queue in self._router.dispatcher.queues.items():
            waiting = QueueReport(
                name,
                tuple(queue.queued_tokens_by_slack(now_ms)),
                queue.underserved_stage(now_ms),
            )
            self._add_if_due(reports, ("q", name), waiting, is_refresh)
            for target_id, load in queue.targets.items():
                report = make_target_report(name, load)
                self._add_if_due(reports, ("t", name, target_id), report, is_refresh)
            for customer, demand, served in queue.shares.own_changes(
                now_ms, is_refresh
            ):
                reports.append(CustomerReport(name, customer, int(demand), int(served)))
        reports += self._parts_reports
        self._parts_reports = []
        reports += self._collect_findings(is_refresh)
        return reports

    def report_limit(self, load: TargetLoad) -> None:
        """Report the rate limit that a target has named, or its end, at once."""
        self._limit_resends[load.target.id] = defaults.FINDING_RESENDS
        self.broadcast([make_limit_report(load, self._clock.now_ms())])

    def report_leaving(self, target: Target) -> None:
        """Report at once that a target has said that it leaves."""
        self._leaving_resends[target.instance] = defaults.FINDING_RESENDS
        self._leaving_services[target.instance] = target.service
        self.broadcast([LeavingReport(target.service, target.instance, 0)])

    def _collect_leaving(self, is_refresh: bool, now_ms: float) -> list[Report]:
        """Return the targets that leave to report again.

        Those that are no longer registered are repeated for a short time only.
        """
        due = set(self._leaving_resends)
        self._leaving_resends = {
            key: left - 1 for key, left in self._leaving_resends.items() if left > 1
        }
        leaving = self._router.dispatcher.findings.leaving()
        self._leaving_services = {
            key: service
            for key, service in self._leaving_services.items()
            if key in leaving
        }
        if is_refresh:
            registered = {
                target.instance for target in self._router.dispatcher.targets()
            }
            due |= {
                key
                for key, seen_ms in leaving.items()
                if (
                    key in registered
                    or now_ms - seen_ms <= defaults.LIMIT_END_REPEAT_MS
                )
                and self.repeats(key)
            }
        return [
            LeavingReport(service, key, max(0, int(now_ms - leaving[key])))
            for key, service in self._leaving_services.items()
            if key in due
        ]

    def _collect_findings(self, is_refresh: bool) -> list[Report]:
        """Return the crashes, rate limits and leaving targets to report again."""
        reports: list[Report] = list(self._router.crashes.reports_due(is_refresh))
        now_ms = self._clock.now_ms()
        reports += self._collect_leaving(is_refresh, now_ms)
        due = set(self._limit_resends)
        self._limit_resends = {
            key: left - 1 for key, left in self._limit_resends.items() if left > 1
        }
        for queue in self._router.dispatcher.queues.values():
            for target_id, load in queue.targets.items():
                is_known = load.limit is not None or (
                    now_ms - load.limit_seen_ms <= defaults.LIMIT_END_REPEAT_MS
                )
                if target_id in due or (
                    is_refresh and is_known and self.repeats(target_id)
                ):
                    reports.append(make_limit_report(load, now_ms))
        return reports

    def repeats(self, key: str) -> bool:
        """Return whether this router repeats a finding with each refresh.

        A few routers do, for lost datagrams and for routers that were started since.

        :param key: what the finding is about.
        """
        ranked = rank_by_rendezvous(key, self.live_names)
        return self._name in ranked[: defaults.FINDING_REPEATERS]

    def _add_if_due(
        self,
        reports: list[Report],
        key: tuple[str, ...],
        report: TargetReport | QueueReport,
        is_refresh: bool,
    ) -> None:
        """Add a report that changed, or repeat it on a refresh in case it was lost.

        An idle report is sent ``PEER_IDLE_REPEATS`` times, the first included.
        """
        sent = self._sent_reports.get(key)
        if sent is None or sent.report != report:
            self._sent_reports[key] = _SentReport(report)
        elif is_refresh and not (
            report.is_idle and sent.send_count >= defaults.PEER_IDLE_REPEATS
        ):
            sent.send_count += 1
        else:
            return
        reports.append(report)

    def broadcast(
        self, reports: t.Sequence[Report], *, is_heartbeat: bool = False
    ) -> None:
        """Send reports to all peers.

        :param is_heartbeat: whether to send a datagram even without a report.
        """
        if self._socket is None or not self._peers or not (reports or is_heartbeat):
            return
        feed_tracker = self._router.feed_tracker
        positions = feed_tracker.positions
        header = Gossip(
            self._name,
            self._router.routing.version,
            {name: position.offset for name, position in positions.items()},
            feed_tracker.is_store_reachable,
            [],
            self._own_store_span(),
            {name: position.era for name, position in positions.items()},
            self._router.dispatcher.shedder.is_short,
            self._router.dispatcher.restrictions.evacuations.report(),
        )
        for data in pack(header, reports):
            for peer in self._peers.values():
                try:
                    self._socket.sendto(data, peer.address)
                except OSError as error:
                    # Handled like a lost datagram: the next refresh repeats the loads.
                    debug("peer.not_sent", peer=peer.name, error=str(error))

    # -- configuration ---------------------------------------------------------

    async def _poll_config(self) -> None:
        """Fetch a newer configuration from a peer if the store does not deliver it."""
        previous_version = -1
        while True:
            await asyncio.sleep(defaults.PEER_CONFIG_INTERVAL_MS / 1000)
            version = self._router.known_version
            if version != previous_version:
                # While this router's version still changes, the store usually delivers
                # the newer one by the next check, so no peer is asked yet.
                previous_version = version
                continue
            await self.fetch_newer_config()

    def has_newer_config(self) -> bool:
        """Return whether a peer has a newer configuration than this router."""
        version = self._router.known_version
        return any(peer.version > version for peer in self._peers.values())

    async def fetch_newer_config(self) -> None:
        """Fetch the newest configuration of the peers if this router's is older."""
        if not self.has_newer_config():
            return
        peer = max(self._peers.values(), key=lambda p: (p.version, p.heard_ms))
        try:
            async with asyncio.timeout(defaults.PEER_CONFIG_TIMEOUT_MS / 1000):
                document = await self._fetch(peer, CONFIG_PATH)
        except (SnipedealError, TimeoutError) as error:
            warning("peer.config_failed", peer=peer.name, error=str(error))
            return
        self._router.apply_document(document, f"peer {peer.name}")

    async def _poll_feeds(self) -> None:
        """Fetch what peers know from a feed while the store turns this router away."""
        tracker = self._router.feed_tracker
        while True:
            await asyncio.sleep(defaults.PEER_CONFIG_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            for name, feed in tracker.feeds.items():
                if feed.is_failing and feed.is_behind(now_ms):
                    await self._fetch_feed(name, feed.position)

    async def _fetch_feed(self, name: str, position: Position) -> None:
        """Fetch a snapshot of a feed from the peer that is furthest ahead."""
        ahead = [
            peer
            for peer in self._peers.values()
            if peer.heard_ms and peer.positions.get(name, position) > position
        ]
        if not ahead:
            return
        peer = max(ahead, key=lambda p: (p.positions[name], p.heard_ms))
        try:
            async with asyncio.timeout(defaults.PEER_CONFIG_TIMEOUT_MS / 1000):
                body = await self._fetch(peer, FEED_PATH + name.encode())
            snapshot = decode(self._snapshot_decoder.decode, body)
        except (SnipedealError, TimeoutError) as error:
            warning("peer.feed_failed", peer=peer.name, feed=name, error=str(error))
            return
        info(
            "peer.feed_fetched",
            peer=peer.name,
            feed=name,
            era=snapshot.era,
            offset=snapshot.offset,
            position=position.offset,
            position_era=position.era,
            records=len(snapshot.records),
        )
        self._router.apply_snapshot(snapshot)

    def fetch_announced(self, sender: str, report: RecordsReport) -> None:
        """Fetch the configuration that a reader has announced, unless it is known.

        The store serves it to the readers only: one call of each router for each
        version would be most of the fleet's calls.
        """
        feed = self._router.feed_tracker.feed(report.feed)
        end = self._router.feed_tracker.end_of(report)
        peer = self._peers.get(sender)
        is_fetching = self._fetch_task is not None and not self._fetch_task.done()
        if end <= feed.position or is_fetching:
            return
        has_gap = end.era > feed.position.era or report.start > feed.position.offset
        if peer is None or has_gap:
            self._router.feed_tracker.require_read(report.feed, end)
            return
        self._fetch_task = asyncio.create_task(
            self._fetch_or_read(peer, report.feed, end), name="peer-config-announced"
        )

    async def _fetch_or_read(self, peer: Peer, feed: str, end: Position) -> None:
        try:
            async with asyncio.timeout(defaults.PEER_CONFIG_TIMEOUT_MS / 1000):
                document = await self._fetch(peer, CONFIG_PATH)
        except (SnipedealError, TimeoutError) as error:
            warning("peer.config_failed", peer=peer.name, error=str(error))
            self._router.feed_tracker.require_read(feed, end)
            return
        self._router.apply_document(document, f"peer {peer.name}")
        self._router.feed_tracker.feed(feed).advance(end)

    async def _fetch(self, peer: Peer, path: bytes) -> bytes:
        connection = await self._router.pool.connect(peer.address)
        try:
            connection.send(b"GET %s HTTP/1.1\r\nhost: peer\r\n\r\n" % path)
            head = await connection.head()
            if head.status != 200:
                raise MessageError(f"status {head.status}", "peer-fetch", peer.name)
            return await connection.body(defaults.PEER_CONFIG_BYTES)
        finally:
            self._router.pool.release(connection)
