"""Apply to targets that they are cold, or that their zones are evacuated."""

import typing as t

from snipedeal.clock import Clock
from snipedeal_direct.evacuation import Evacuations
from snipedeal_direct.journal import info
from snipedeal_direct.load import TargetLoad
from snipedeal_direct.metrics import DirectMetrics
from snipedeal_direct.queueing import ServiceQueue


class Restrictions:
    """Restrict what targets get while they are cold or evacuated.

    :param name: name of this router.
    :param queues: queues of all services.
    :param on_change: called when targets were closed or opened.
    """

    def __init__(
        self,
        name: str,
        queues: t.Callable[[], t.Mapping[str, ServiceQueue]],
        clock: Clock,
        metrics: DirectMetrics,
        on_change: t.Callable[[], None],
    ) -> None:
        self.evacuations = Evacuations(self._apply_evacuation)
        #: Returns the names of all registered routers, none while they are not known.
        self.registered_routers: t.Callable[[], t.Collection[str]] = lambda: ()
        self._name = name
        self._queues = queues
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change

    def place(self, load: TargetLoad) -> None:
        """Apply the state of a target's zone."""
        load.is_evacuated = self.evacuations.is_evacuated(load.target.zone)

    def note_registered(self, load: TargetLoad) -> None:
        """Apply what a registration says that was received now."""
        now_ms = self._clock.now_ms()
        if load.warmup.note_registered(load.target.cold_ms, now_ms):
            self._note_cold(load, "registration")

    def note_lost(self, load: TargetLoad) -> None:
        """Record that a target is unreachable or has crashed."""
        load.warmup.note_lost(self._clock.now_ms())
        self._update_senders(self._queues()[load.target.service])

    def note_crash(self, instance: str, service: str) -> None:
        """Record that an instance of a target has crashed, as any router found out."""
        queue = self._queues().get(service)
        for load in queue.targets.values() if queue else ():
            if load.target.instance == instance:
                self.note_lost(load)

    def note_response(self, load: TargetLoad, cold_ms: bytes | None) -> None:
        """Record that a target says in a response for how long it stays cold.

        :param cold_ms: value of the header, ``None`` if the response has none.
        """
        terms = load.warmup.terms
        if cold_ms is None or terms is None or not cold_ms.strip().isdigit():
            return
        remaining_ms = min(float(cold_ms), terms.start_ms)
        if load.warmup.note_cold(remaining_ms, self._clock.now_ms()):
            self._note_cold(load, "response")

    def note_reachable(self, load: TargetLoad) -> None:
        """Record that a connection to a target was opened or used again."""
        if load.warmup.note_found(self._clock.now_ms()):
            self._note_cold(load, "return")

    def update_senders(self) -> None:
        """Determine again to which cold targets this router sends."""
        for queue in self._queues().values():
            self._update_senders(queue)

    def _update_senders(self, queue: ServiceQueue) -> None:
        routers = self.registered_routers()
        queue.update_senders(self._name, routers, self._clock.now_ms())

    def _note_cold(self, load: TargetLoad, evidence: str) -> None:
        queue = self._queues()[load.target.service]
        self._update_senders(queue)
        queue.note_change()
        self._metrics.targets_cold.labels(load.target.service).inc()
        info(
            "target.cold",
            target=load.target.id,
            service=load.target.service,
            evidence=evidence,
            is_sender=load.warmup.is_sender,
            running=load.running,
        )

    def _apply_evacuation(self, zone: str, is_active: bool) -> None:
        """Close or open the targets of an availability zone."""
        queues = self._queues().values()
        loads = [
            load
            for queue in queues
            for load in queue.targets.values()
            if load.target.zone == zone
        ]
        event = "zone.evacuated" if is_active else "zone.open"
        info(event, zone=zone, targets=len(loads))
        self._metrics.evacuated.labels(zone).set(is_active)
        for load in loads:
            load.is_evacuated = is_active
            # They are cold after an evacuation, and their registrations tell it late.
            if not is_active and load.warmup.note_started(self._clock.now_ms()):
                self._note_cold(load, "evacuation")
        for queue in queues:
            queue.note_change()
        self._on_change()
