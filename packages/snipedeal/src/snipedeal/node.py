"""Provide the common runtime of router and agent processes.

A node owns the transport, the membership read from the VM list, the configuration
and the event log of its process. Plug-ins register callbacks for messages and for
changes of peers, membership and configuration.
"""

import asyncio
import json
import random
import typing as t

import aiohttp
from absl import logging

from snipedeal import defaults
from snipedeal.clock import Clock
from snipedeal.configuration import ACCEPTED
from snipedeal.configuration import IGNORED
from snipedeal.configuration import Applied
from snipedeal.configuration import Configuration
from snipedeal.decoding import parse_json
from snipedeal.events import EventLog
from snipedeal.exceptions import PlatformError
from snipedeal.exceptions import UnreadableError
from snipedeal.membership import ROUTER
from snipedeal.membership import Membership
from snipedeal.messages import ConfigRequest
from snipedeal.messages import ConfigResponse
from snipedeal.messages import VmView
from snipedeal.messages import VmViewRequest
from snipedeal.metrics import Metrics
from snipedeal.platform import LogBatch
from snipedeal.platform import LogClient
from snipedeal.platform import VmListClient
from snipedeal.platform import follow_stream
from snipedeal.settings import NodeSettings
from snipedeal.transport import Handlers
from snipedeal.transport import Transport

_PEERS_PER_QUERY = 2
_REFUSED_RECORDS_LIMIT = 200


class Node:
    """Run the transport, platform clients and background tasks of a process.

    :param settings: the process's settings.
    :param role: ``router`` or ``target``.
    :param kinds: kinds of configuration objects to keep, ``None`` for all.
    :param flush_interval_ms: flush interval of the transport.
    """

    def __init__(
        self,
        settings: NodeSettings,
        role: str,
        kinds: frozenset[str] | None = None,
        flush_interval_ms: int = defaults.FLUSH_INTERVAL_MS,
    ) -> None:
        self.settings = settings
        self.role = role
        self.clock = Clock()
        self.metrics = Metrics()
        self.membership = Membership(settings.name)
        self.configuration = Configuration(kinds)
        self.is_closing = False
        self.on_peer_reset: list[t.Callable[[str], None]] = []
        self.on_peer_lost: list[t.Callable[[str], None]] = []
        self.on_membership: list[t.Callable[[], None]] = []
        self.on_applied: list[t.Callable[[Applied], None]] = []
        self.on_config: list[t.Callable[[], None]] = []
        self.status_parts: dict[str, t.Callable[[], t.Any]] = {}
        self.ready_checks: list[t.Callable[[], str]] = []
        self.metric_refreshers: list[t.Callable[[], None]] = []
        self._handlers: dict[type, t.Callable[[str, t.Any], None]] = {}
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self._refused_records: list[Applied] = []
        self._last_read_offset = -1
        self._is_log_down = False
        self._is_vm_list_down = False
        self._random = random.Random()
        self.transport = Transport(
            settings.name,
            settings.listen,
            settings.advertise or settings.listen,
            self.clock,
            Handlers(self._on_message, self._on_reset, self._on_lost),
            flush_interval_ms,
        )
        self.events = EventLog(settings.name, self.transport.hybrid_clock)

    @property
    def name(self) -> str:
        """Name of the process's VM."""
        return self.settings.name

    @property
    def is_log_down(self) -> bool:
        """Whether the most recently reported call to the log service failed."""
        return self._is_log_down

    async def start(self) -> None:
        """Open the transport and start following the configuration and VM list."""
        # Idle connections are closed before servers usually close them: a request
        # on a connection that the server has just closed can't be distinguished
        # from one whose response was lost.
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=defaults.HTTP_KEEP_ALIVE_TIMEOUT_S
        )
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self.log = LogClient(self.settings.platform.log_url, self.session)
        self._vm_list = VmListClient(self.settings.platform.vm_list_url, self.session)
        self.handle(ConfigRequest, self._on_config_request)
        self.handle(ConfigResponse, self._on_config_response)
        self.handle(VmViewRequest, self._on_view_request)
        self.handle(VmView, self._on_view)
        self.transport.start()
        self.run_loop(self._follow_config, "config")
        self.run_loop(self._poll_vm_list, "vm-list")
        self.events.add("process.started", role=self.role)

    async def close(self) -> None:
        """Close the transport, cancel all tasks and close the HTTP session."""
        self.events.add("process.closed")
        await self.transport.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()

    def handle(self, cls: type, handler: t.Callable[[str, t.Any], None]) -> None:
        """Register the handler for messages of a class.

        :param cls: a registered message class.
        :param handler: called with the sender's name and the message.
        """
        self._handlers[cls] = handler

    def run_task(self, work: t.Coroutine[t.Any, t.Any, t.Any], name: str) -> t.Any:
        """Run a coroutine as a task that is cancelled when the node closes.

        :param work: the coroutine.
        :param name: name of the task, logged if it fails.
        :return: the task.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def run_loop(
        self, work: t.Callable[[], t.Coroutine[t.Any, t.Any, t.Any]], name: str
    ) -> t.Any:
        """Run a coroutine that should never end and restart it whenever it does.

        :param work: function that creates the coroutine.
        :param name: name of the task, logged with each failure.
        :return: the task.
        """
        return self.run_task(self._run_forever(work, name), name)

    async def _run_forever(
        self, work: t.Callable[[], t.Coroutine[t.Any, t.Any, t.Any]], name: str
    ) -> None:
        while True:
            try:
                await work()
            except Exception:
                logging.exception("background task %s failed; restarting it", name)
            await asyncio.sleep(defaults.LOOP_RESTART_DELAY_MS / 1000)

    def send(self, peer: str, message: t.Any) -> bool:
        """Send a message to a peer, connecting to its listed address if needed.

        :param peer: the peer's name.
        :param message: an instance of a registered message class.
        :return: whether the message was queued; ``False`` if the peer is unknown.
        """
        vm = self.membership.find(peer)
        if vm is not None:
            self.transport.connect(peer, vm.address)
        return self.transport.send(peer, message)

    def unready_reasons(self) -> list[str]:
        """Return why the process is not ready for requests; empty if it is."""
        reasons = [check() for check in self.ready_checks]
        if not self.configuration.is_complete:
            reasons.append("no configuration in force")
        if self.is_closing:
            reasons.append("closing")
        return [reason for reason in reasons if reason]

    def status(self) -> dict[str, t.Any]:
        """Return the current state of the process as JSON data."""
        return {
            "name": self.name,
            "role": self.role,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "config_offset": self.configuration.offset,
            "config_complete": self.configuration.is_complete,
            "log_down": self._is_log_down,
            "vm_list_as_of_ms": self.membership.as_of_ms,
            "vm_list_heard_as_of_ms": self.membership.newest_as_of_ms,
            "leaving": self.membership.leaving(),
            "closing": self.is_closing,
            "refused_records": [
                {
                    "offset": applied.offset,
                    "status": applied.status,
                    "field": applied.field,
                    "reason": applied.reason,
                    "name": applied.name,
                }
                for applied in self._refused_records[-20:]
            ],
            "control_bytes_sent": self.transport.traffic.control_sent(),
            "control_bytes_received": self.transport.traffic.control_received(),
            **{name: part() for name, part in self.status_parts.items()},
        }

    def refresh_metrics(self) -> None:
        """Update metrics that are computed when they are read."""
        self.metrics.config_offset.set(self.configuration.offset)
        self.metrics.update_byte_counters("sent", self.transport.traffic.sent)
        self.metrics.update_byte_counters("received", self.transport.traffic.received)
        for refresh in self.metric_refreshers:
            refresh()

    def report_log_status(self, is_down: bool, step: str, detail: str = "") -> None:
        """Record the result of a call to the log service.

        An event is added only when the service goes down or comes back.

        :param step: the kind of call, a label of the error counter.
        :param detail: error text.
        """
        if is_down:
            self.metrics.platform_errors.labels(step).inc()
        if is_down != self._is_log_down:
            self._is_log_down = is_down
            name = "log.down" if is_down else "log.up"
            self.events.add(name, step=step, detail=detail)

    def _on_task_done(self, task: asyncio.Task[t.Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error(
                "task %s failed with an unhandled exception",
                task.get_name(),
                exc_info=task.exception(),
            )

    def _on_message(self, peer: str, message: t.Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(peer, message)

    def _on_reset(self, peer: str) -> None:
        self.events.add("peer.reset", peer=peer)
        for callback in self.on_peer_reset:
            callback(peer)

    def _on_lost(self, peer: str) -> None:
        self.events.add("peer.lost", peer=peer)
        for callback in self.on_peer_lost:
            callback(peer)

    # -- configuration -----------------------------------------------------

    async def _follow_config(self) -> None:
        self.run_loop(self._bootstrap_config, "config-bootstrap")
        await follow_stream(
            self.log,
            defaults.CONFIG_STREAM,
            self._next_config_offset,
            self._on_config_batch,
            lambda error: self.report_log_status(True, "config", str(error)),
        )

    def _next_config_offset(self) -> int:
        return max(self.configuration.offset, self._last_read_offset) + 1

    def _on_config_batch(self, batch: LogBatch) -> None:
        self.report_log_status(False, "config")
        previous_offset = self.configuration.offset
        self.configuration.set_log_start(batch.start)
        for record in batch.records:
            self._last_read_offset = record.offset
            applied = self.configuration.apply(record.offset, record.data)
            self._report_applied(applied)
        # No record is left to read; skip the offsets that the log has dropped.
        if batch.start > self._last_read_offset + 1 and not batch.records:
            self._last_read_offset = batch.next - 1
        if self.configuration.offset != previous_offset:
            self._announce_config()

    def _announce_config(self) -> None:
        self.events.add("config.in_force", offset=self.configuration.offset)
        for callback in self.on_config:
            callback()

    def _report_applied(self, applied: Applied) -> None:
        for callback in self.on_applied:
            callback(applied)
        if applied.status in (ACCEPTED, IGNORED):
            return
        self._refused_records.append(applied)
        del self._refused_records[:-_REFUSED_RECORDS_LIMIT]
        self.events.add(
            "config.refused",
            offset=applied.offset,
            status=applied.status,
            field=applied.field,
            reason=applied.reason,
        )

    async def _bootstrap_config(self) -> None:
        """Request the configuration from peers while it is incomplete.

        This lets a process start while the log service is unavailable.
        """
        while True:
            await asyncio.sleep(defaults.CONFIG_PEER_REQUEST_INTERVAL_MS / 1000)
            if self.configuration.is_complete:
                continue
            routers = [vm for vm in self.membership.others() if vm.role == ROUTER]
            for vm in self._sample(routers):
                self.send(vm.name, ConfigRequest(self.configuration.offset))

    def _on_config_request(self, peer: str, message: ConfigRequest) -> None:
        configuration = self.configuration
        can_send_snapshot = configuration.is_complete and configuration.kinds is None
        if not can_send_snapshot or configuration.offset <= message.offset:
            return
        parts = configuration.snapshot(f"peer-{self.name}")
        response = ConfigResponse(configuration.offset, json.dumps(parts).encode())
        self.send(peer, response)

    def _on_config_response(self, peer: str, message: ConfigResponse) -> None:
        if self.configuration.is_complete:
            return
        try:
            texts = parse_json(message.snapshot)
        except UnreadableError as error:
            logging.warning("discarded configuration of %s: %s", peer, error)
            return
        if not isinstance(texts, list) or not all(isinstance(x, str) for x in texts):
            logging.warning("discarded configuration of %s: no list of texts", peer)
            return
        if self.configuration.load_newer_snapshot(texts):
            self.events.add("config.adopted", peer=peer, offset=message.offset)
            self._announce_config()

    # -- VM list -------------------------------------------------------------

    async def _poll_vm_list(self) -> None:
        while True:
            await self._refresh_vm_list()
            await asyncio.sleep(defaults.VM_LIST_POLL_MS / 1000)

    async def _refresh_vm_list(self) -> None:
        try:
            listing = await self._vm_list.read()
        except PlatformError as error:
            self._set_vm_list_down(True, str(error))
            for vm in self._sample(self.membership.others()):
                self.send(vm.name, VmViewRequest())
            return
        self._set_vm_list_down(False, "")
        if self.membership.apply(listing, self.clock.now_ms()):
            self._announce_membership()

    def _set_vm_list_down(self, is_down: bool, detail: str) -> None:
        if is_down:
            self.metrics.platform_errors.labels("vm-list").inc()
        if is_down != self._is_vm_list_down:
            self._is_vm_list_down = is_down
            name = "vm_list.down" if is_down else "vm_list.up"
            self.events.add(name, detail=detail)

    def _announce_membership(self) -> None:
        self.events.add("vm_list.changed", leaving=self.membership.leaving())
        for callback in self.on_membership:
            callback()

    def _on_view_request(self, peer: str, message: VmViewRequest) -> None:
        if self.membership.newest_as_of_ms:
            view = VmView(self.membership.newest_as_of_ms, self.membership.leaving())
            self.send(peer, view)

    def _on_view(self, peer: str, message: VmView) -> None:
        now_ms = self.clock.now_ms()
        if self.membership.apply_peer_view(message.as_of_ms, message.leaving, now_ms):
            self._announce_membership()

    def _sample(self, items: t.Sequence[t.Any]) -> list[t.Any]:
        """Return up to ``_PEERS_PER_QUERY`` items chosen at random."""
        return self._random.sample(items, min(len(items), _PEERS_PER_QUERY))
