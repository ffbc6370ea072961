"""The router process: its shared state, components and life cycle."""

import asyncio
import functools
import importlib
import os

import attrs
import msgspec

from snipedeal.clock import Clock
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import SettingsError
from snipedeal.rendering import Rendering
from snipedeal_direct import defaults
from snipedeal_direct.availability import Availability
from snipedeal_direct.crashes import CrashWatch
from snipedeal_direct.dispatching import Dispatcher
from snipedeal_direct.egress import Pool
from snipedeal_direct.exchange import Exchange
from snipedeal_direct.fields import Fields
from snipedeal_direct.following import FeedTracker
from snipedeal_direct.forwarding import Forwarder
from snipedeal_direct.gossip import FeedSnapshot
from snipedeal_direct.gossip import RecordsReport
from snipedeal_direct.ingress import IngressServer
from snipedeal_direct.joining import join
from snipedeal_direct.journal import LogWriter
from snipedeal_direct.journal import info
from snipedeal_direct.journal import warning
from snipedeal_direct.load import PrefixBudget
from snipedeal_direct.memory import MemoryAccount
from snipedeal_direct.meter import LoopMeter
from snipedeal_direct.metrics import DirectMetrics
from snipedeal_direct.model import Call
from snipedeal_direct.model import CallerLimits
from snipedeal_direct.model import HeaderNames
from snipedeal_direct.model import RouteTable
from snipedeal_direct.model import Target
from snipedeal_direct.peers import CONFIG_PATH
from snipedeal_direct.peers import FEED_PATH
from snipedeal_direct.peers import Peers
from snipedeal_direct.queueing import Refusal
from snipedeal_direct.routing import Routing
from snipedeal_direct.settings import DirectSettings
from snipedeal_direct.settings import split_address
from snipedeal_direct.source import SOURCES
from snipedeal_direct.source import SourceEvents
from snipedeal_direct.source import SourceFactory
from snipedeal_direct.tasks import supervise


class DirectRouter:
    """Own all components of a router that forwards requests directly to targets.

    :param settings: validated settings.
    :param meter: measures the event loop that the router runs in.
    """

    def __init__(
        self,
        settings: DirectSettings,
        log_writer: LogWriter,
        meter: LoopMeter | None = None,
    ) -> None:
        self.settings = settings
        self.meter = meter or LoopMeter()
        self.clock = Clock()
        self.metrics = DirectMetrics()
        self.routing = Routing()
        self.account = MemoryAccount.of_process(settings.max_memory_mb)
        self.pool = Pool(
            self.clock.monotonic,
            lambda address: self.metrics.connects.inc(),
            self.account,
        )
        self.dispatcher = Dispatcher(
            settings,
            self.clock,
            self.metrics,
            self.meter,
            PrefixBudget.of_process(settings.max_memory_mb),
        )
        self.dispatcher.on_new_instance = self._on_new_instance
        self.feed_tracker = FeedTracker(settings.name, self.clock.now_ms)
        self.is_store_unreachable = True
        self.stopping_since_ms = 0.0
        self.log_writer = log_writer
        self.has_joined = False
        self._rendered_metrics = Rendering(self._render_metrics, self.clock.now_ms)
        self._was_short = False
        self._first_table: tuple[RouteTable, bytes, str] | None = None
        self._document = b""
        events = SourceEvents(
            self._on_table,
            self._on_target,
            self._on_peer,
            self._on_reachability,
            self._on_records,
            self.dispatcher.restrictions.evacuations,
        )
        self._source = _load_source_factory(settings)(self, events)
        self.peers = Peers(self)
        self.dispatcher.on_sent = self.peers.queue_prompt_parts
        self.dispatcher.on_limit = self.peers.report_limit
        self.dispatcher.on_leaving = self._on_target_leaving
        self.dispatcher.live_routers = lambda: self.peers.live_names
        self.dispatcher.restrictions.registered_routers = lambda: (
            self.peers.known_names if self.has_listed_routers else ()
        )
        self.crashes = CrashWatch(self)
        self.forwarder = Forwarder(self)
        self._ingress = IngressServer(
            self.clock,
            self.forwarder.handle,
            self._on_bad_request,
            self._caller_limits,
            int(settings.max_descriptors * defaults.CALLER_DESCRIPTOR_FRACTION),
            self.meter,
            self.dispatcher.shedder.intake,
            self.account,
            self._find_owner,
        )
        self._internal_servers = [
            IngressServer(
                self.clock,
                handle,
                self._on_bad_request,
                CallerLimits,
                limit,
                account=self.account,
            )
            for handle, limit in (
                (self._serve_readiness, defaults.OPERATOR_CONNECTIONS),
                (self._serve_metrics, defaults.OPERATOR_CONNECTIONS),
                (self._serve_config, defaults.INTERNAL_CONNECTIONS),
            )
        ]
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def headers(self) -> HeaderNames:
        """Header names of the source's protocol."""
        return self._source.headers

    @property
    def store_availability(self) -> Availability:
        """When the store has answered reads of the feed that carries the targets."""
        return self.feed_tracker.feed(self._source.target_feed).availability

    @property
    def document(self) -> bytes:
        """The configuration in force as it was read, empty before the first."""
        return self._document

    @property
    def known_version(self) -> int:
        """Version of the newest configuration that this router has, -1 if none."""
        if self._first_table is not None:
            return self._first_table[0].version
        return self.routing.version

    @property
    def has_listed_routers(self) -> bool:
        """Whether the registrations of the other routers have been read."""
        return self._source.has_listed_routers

    @property
    def is_ready(self) -> bool:
        """Whether the router may receive requests."""
        return self.routing.table is not None and not self.stopping_since_ms

    def wants_connections(self) -> bool:
        """Return whether new connections should come here; log when that changes.

        Callers keep their connections to a router that is short of processor time;
        those that open new ones find a router that has some.
        """
        is_short = self.dispatcher.shedder.is_short and self.peers.most_have_time
        if is_short != self._was_short:
            self._was_short = is_short
            info("process.short_of_time" if is_short else "process.has_time")
        return self.is_ready and not is_short

    # -- life cycle ------------------------------------------------------------

    async def start(self) -> None:
        """Start all servers and follow the platform's change feeds."""
        settings = self.settings
        info(
            "process.started",
            pid=os.getpid(),
            zone=settings.zone,
            memory_mb=settings.max_memory_mb,
        )
        addresses = (settings.ready, settings.metrics, settings.peer)
        for server, address in zip(self._internal_servers, addresses, strict=True):
            await server.start(*split_address(address))
        await self.peers.start()
        self.dispatcher.start()
        self._source.start()
        await self._ingress.start(*split_address(settings.listen))
        self._tasks += [
            supervise(self._expire_idle_connections, "expire", self.metrics),
            supervise(functools.partial(join, self), "join", self.metrics),
        ]

    async def close(self) -> None:
        """Close all components."""
        for task in self._tasks:
            task.cancel()
        # Accept no connections while the awaits below run.
        self._ingress.stop_listening()
        await self.forwarder.close()
        await self.crashes.close()
        await self._source.close()
        await self._ingress.close()
        await self.dispatcher.close()
        await self.peers.close()
        self.pool.close()
        for server in self._internal_servers:
            await server.close()
        info("process.stopped", open=self.forwarder.open_calls)

    async def drain(self) -> None:
        """Serve open and new requests until ``STOP_RESERVE_MS`` before SIGKILL.

        End earlier, but not before ``STOP_MIN_MS``, if no request is open and no
        connection is left.
        """
        self.stopping_since_ms = self.clock.now_ms()
        self._ingress.is_closing = True
        info("process.stopping", open=self.forwarder.open_calls)
        limit_ms = self.settings.bounds.grace_ms - defaults.STOP_RESERVE_MS
        while True:
            await asyncio.sleep(defaults.STOP_POLL_MS / 1000)
            elapsed_ms = self.clock.now_ms() - self.stopping_since_ms
            if elapsed_ms >= limit_ms:
                break
            if elapsed_ms < defaults.STOP_MIN_MS:
                continue
            if not self.forwarder.open_calls:
                self._ingress.close_idle()
                if not self._ingress.connections:
                    self._ingress.stop_listening()
                    break

    def shutdown_refusal(self, call: Call, now_ms: float) -> Refusal | None:
        """Refuse a new call that may not be answered before the process ends.

        Calls are accepted during the first ``STOP_ACCEPT_MS``, while the load balancer
        still routes here. Later ones are accepted only if they end before that, at the
        latest by their deadline; streams are refused.
        """
        if not self.stopping_since_ms:
            return None
        elapsed_ms = now_ms - self.stopping_since_ms
        if elapsed_ms < defaults.STOP_ACCEPT_MS:
            return None
        left_ms = self.settings.bounds.grace_ms - defaults.STOP_RESERVE_MS - elapsed_ms
        if not call.route.is_stream and call.deadline_ms <= now_ms + left_ms:
            return None
        return Refusal(503, "stopping", defaults.RETRY_AFTER_MIN_S)

    async def _expire_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(defaults.POOL_EXPIRE_MS / 1000)
            self.pool.expire()
            self.crashes.expire()

    # -- source events ---------------------------------------------------------

    def apply_document(self, document: bytes, origin: str) -> None:
        """Apply a configuration document; if it is invalid, keep the one in force.

        :param origin: where it comes from, for the log.
        """
        try:
            table = self._source.read_table(document)
        except RecordError as error:
            self.metrics.odd_entries.labels("configuration").inc()
            warning("config.unreadable", origin=origin, error=str(error))
            return
        self._apply_table(table, document, origin)

    def _on_table(self, table: RouteTable, document: bytes) -> None:
        self._apply_table(table, document, "store")

    def apply_first_table(self) -> None:
        """Put the newest configuration that was received in force."""
        self.has_joined = True
        first, self._first_table = self._first_table, None
        if first is not None:
            self._apply_table(*first)

    def _apply_table(self, table: RouteTable, document: bytes, origin: str) -> None:
        if not self.has_joined:
            if table.version > self.known_version:
                self._first_table = (table, document, origin)
            return
        before = self.routing.version
        if not self.routing.apply(table):
            if table.version < before:
                info(
                    "config.older_ignored",
                    version=table.version,
                    in_force=before,
                    origin=origin,
                )
            return
        self._document = document
        self.dispatcher.apply_table(table)
        self.metrics.config_version.set(table.version)
        info(
            "config.applied",
            version=table.version,
            before=before,
            origin=origin,
            routes=len(table.routes),
            keys=len(table.customers) if table.customers is not None else -1,
        )

    def _on_target(self, target_id: str, target: Target | None) -> None:
        info(
            "target.listed",
            target=target_id,
            state=target.state.value if target else "gone",
            service=target.service if target else "",
            address=f"{target.host}:{target.port}" if target else "",
        )
        self.dispatcher.apply_target(target_id, target)

    def _on_target_leaving(self, target: Target) -> None:
        self.metrics.targets_leaving.labels(target.service).inc()
        self.peers.report_leaving(target)

    def _on_new_instance(self, target: Target) -> None:
        # Idle connections belong to the previous process at this address.
        self.pool.forget((target.host, target.port))

    def _on_peer(self, name: str, address: str | None) -> None:
        self.peers.apply_peer(name, address)

    def apply_records(self, report: RecordsReport, sender: str) -> None:
        """Apply records that a peer read from the store.

        If they were too large to be sent, fetch the configuration from the peer, or
        read them from the store.
        """
        if report.records:
            self._source.apply_records(report)
        elif report.feed == self._source.config_feed:
            self.peers.fetch_announced(sender, report)
        else:
            end = self.feed_tracker.end_of(report)
            self.feed_tracker.require_read(report.feed, end)

    def apply_snapshot(self, snapshot: FeedSnapshot) -> None:
        """Apply what a peer knows from a change feed of the store."""
        self._source.apply_snapshot(snapshot)

    def _on_records(self, report: RecordsReport) -> None:
        """Forward records from the store to peers if this router is a reader.

        Records that exceed a datagram are only announced, so that peers read them
        from the store.
        """
        if self.feed_tracker.is_reader:
            size = sum(len(value or b"") for _, value in report.records)
            if size > defaults.PEER_DATAGRAM_BYTES:
                report = msgspec.structs.replace(report, records=())
            self.peers.forward_records(report)

    def _on_reachability(self, is_reachable: bool, detail: str) -> None:
        self.feed_tracker.is_store_reachable = is_reachable
        if self.is_store_unreachable == (not is_reachable):
            return
        self.is_store_unreachable = not is_reachable
        info("store.reached" if is_reachable else "store.lost", detail=detail)

    # -- HTTP handlers ---------------------------------------------------------

    def _caller_limits(self) -> CallerLimits:
        return self.routing.limits

    def _find_owner(self, headers: Fields) -> str | None:
        """Return the customer of a request, empty for an unknown key."""
        if not self.routing.has_keys:
            return None
        key = headers.get(self.headers.credential) or b""
        return self.routing.customer(key.decode("latin-1")) or ""

    def _on_bad_request(self, status: int, detail: str) -> None:
        self.metrics.answers.labels("", str(status), "bad_request").inc()
        if self.log_writer.drops_request_line(defaults.REFUSAL_LOG_LINES_PER_S):
            return
        info("request.unreadable", status=status, reason=detail)

    def _serve_readiness(self, exchange: Exchange) -> None:
        exchange.respond(200 if self.wants_connections() else 503, [], b"")

    def _serve_metrics(self, exchange: Exchange) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        exchange.respond(200, headers, self._rendered_metrics.get())

    def _render_metrics(self) -> bytes:
        for name, queue in self.dispatcher.queues.items():
            self.metrics.waiting.labels(name).set(len(queue.waiting))
            self.metrics.fair_share.labels(name).set(queue.shares.fair_share)
        self.metrics.quarantined.set(len(self.crashes.evidence.quarantined))
        self.metrics.received_bytes.set(self.pool.budget.used_bytes)
        self.metrics.note_memory(self.account, self._ingress)
        self.metrics.prefix_entries.set(self.dispatcher.prefix_budget.used)
        self.metrics.loop_lag.set(self.dispatcher.lag.ms / 1000)
        self.metrics.log_dropped.set(self.log_writer.dropped)
        return self.metrics.render()

    def _serve_config(self, exchange: Exchange) -> None:
        path = exchange.request.path
        body = None
        if path == CONFIG_PATH:
            body = self._document
        elif path.startswith(FEED_PATH):
            name = path.removeprefix(FEED_PATH).decode("latin-1")
            snapshot = self._source.snapshot(name)
            body = snapshot and msgspec.msgpack.encode(snapshot)
        if body:
            exchange.respond(200, [], body)
        else:
            exchange.respond(404, [], b"")


def _load_source_factory(settings: DirectSettings) -> SourceFactory:
    name = settings.source.adapter
    try:
        importlib.import_module(name)
    except ImportError as error:
        raise SettingsError(f"source.adapter: {name!r}: {error}", "settings") from error
    if name not in SOURCES:
        raise SettingsError(f"source.adapter: {name!r} registers no source", "settings")
    return SOURCES[name]


def reload(router: DirectRouter, settings: DirectSettings) -> None:
    """Replace the ``bounds`` of a running router; other settings stay.

    The grace period takes effect at once. Retry budgets that exist already and all
    share windows keep the earlier bounds. The log line names every changed setting.
    """
    changed = [
        field.name
        for field in attrs.fields(DirectSettings)
        if getattr(settings, field.name) != getattr(router.settings, field.name)
    ]
    router.settings = attrs.evolve(router.settings, bounds=settings.bounds)
    info("settings.reloaded", changed=changed)
