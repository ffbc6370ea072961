"""Admission and weighted fair queueing for one target.

Each target has one gate. Routers queue the requests and report to the gate how
many requests of each customer are queued. When the target has a free slot, the
gate asks a router for the next request of the customer with the smallest
virtual time, so a request is bound to a target as late as possible. This module
does no I/O and reads no clock; the current time is passed in.

A solo attempt runs only while nothing else runs on the target.
"""

import attrs

from snipedeal import defaults
from snipedeal.estimator import CostEstimator
from snipedeal.fairness import VirtualTimes
from snipedeal.limits import RateLimit


@attrs.frozen
class PullDecision:
    """Ask a router for the next request of a customer.

    :param ticket: number of the slot reservation made for the request.
    """

    router: str
    customer: str
    ticket: int


@attrs.define
class _CustomerOffers:
    """Queued requests of one customer.

    :param weight: the customer's share of the service.
    :param counts: number of queued requests by router.
    """

    weight: float
    counts: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class _SlotReservation:
    """A slot reserved for a request that was asked for and has not arrived.

    :param units: estimated service units, divided by the customer's share.
    :param issued_ms: monotonic time of the reservation.
    """

    router: str
    customer: str
    units: float
    issued_ms: int


@attrs.define
class _RunningAttempt:
    """An attempt that runs on the target.

    :param weight: the customer's share of the service.
    :param reserved: estimated service units not yet delivered, divided by the
        customer's share.
    :param delivered: service units received so far, not divided by the share.
    """

    customer: str
    weight: float
    reserved: float
    delivered: float = 0.0
    is_solo: bool = False


@attrs.define
class Gate:
    """Slots, offers and running attempts of one target.

    :param slots: how many requests the target runs at once.
    :param times: virtual times of the customers.
    :param estimator: predicts the cost of requests.
    :param is_open: whether the gate admits attempts and asks for requests.
    :param pace: rate limit that the target names, ``None`` if it names none. The gate
        then asks for requests at that rate and declines others.
    """

    slots: int
    times: VirtualTimes = attrs.Factory(VirtualTimes)
    estimator: CostEstimator = attrs.Factory(CostEstimator)
    is_open: bool = True
    pace: RateLimit | None = None
    _offers: dict[str, _CustomerOffers] = attrs.Factory(dict)
    _reservations: dict[int, _SlotReservation] = attrs.Factory(dict)
    _running: dict[str, _RunningAttempt] = attrs.Factory(dict)
    _waiting_solo: list[str] = attrs.Factory(list)
    _next_ticket: int = 1

    @property
    def running(self) -> int:
        """Number of attempts that run on the target."""
        return len(self._running)

    @property
    def free(self) -> int:
        """Number of slots that are neither used nor reserved."""
        return max(0, self.slots - len(self._running) - len(self._reservations))

    @property
    def is_solo_running(self) -> bool:
        """Whether a solo attempt runs on the target."""
        return any(running.is_solo for running in self._running.values())

    def queued(self) -> int:
        """Return how many queued requests routers have offered."""
        return sum(sum(offer.counts.values()) for offer in self._offers.values())

    @property
    def has_offers(self) -> bool:
        """Whether any router offers queued requests."""
        return bool(self._offers)

    def set_offer(self, router: str, customer: str, weight: float, count: int) -> None:
        """Set how many requests of a customer are queued at a router.

        :param weight: the customer's share, above zero.
        :param count: number of queued requests; zero withdraws the offer.
        """
        if count > 0:
            offer = self._offers.setdefault(customer, _CustomerOffers(weight))
            offer.weight = weight
            offer.counts[router] = count
            self.times.join(customer)
            return
        offer = self._offers.get(customer)
        if offer is not None:
            offer.counts.pop(router, None)
            self._remove_if_empty(customer)

    def forget_router(self, router: str) -> None:
        """Drop the offers and slot reservations of a lost or restarted router."""
        for customer in list(self._offers):
            self._offers[customer].counts.pop(router, None)
            self._remove_if_empty(customer)
        for ticket, reservation in list(self._reservations.items()):
            if reservation.router == router:
                self.release_ticket(ticket)

    def next_pulls(self, now_ms: int) -> list[PullDecision]:
        """Reserve free slots for offered requests and return what to ask for.

        :param now_ms: monotonic time.
        """
        pulls: list[PullDecision] = []
        while self._can_request_work():
            if self.pace is not None and not self.pace.admits(now_ms):
                break
            customer = self.times.select()
            if customer is None:
                break
            if self.pace is not None:
                self.pace.spend(now_ms)
            pulls.append(self._issue_ticket(customer, now_ms))
        return pulls

    def release_ticket(self, ticket: int) -> bool:
        """Release a slot reservation.

        :return: whether the reservation still existed.
        """
        reservation = self._reservations.pop(ticket, None)
        if reservation is None:
            return False
        self.times.reserve(reservation.customer, -reservation.units)
        return True

    def expire_tickets(self, now_ms: int) -> list[int]:
        """Release the slot reservations not used within ``PULL_TIMEOUT_MS``.

        :param now_ms: monotonic time.
        :return: the tickets of the released reservations.
        """
        expired = [
            ticket
            for ticket, reservation in self._reservations.items()
            if now_ms - reservation.issued_ms >= defaults.PULL_TIMEOUT_MS
        ]
        for ticket in expired:
            self.release_ticket(ticket)
        return expired

    def set_rate_limit(self, limit: float | None, now_ms: int) -> None:
        """Set the rate limit that the target names, requests a second, if any.

        The gate is the only sender to its target, so it may use the whole limit.
        """
        if limit is None:
            self.pace = None
            return
        if self.pace is None:
            self.pace = RateLimit(limit)
        self.pace.limit = limit
        self.pace.set_rate(max(limit, defaults.RATE_LIMIT_PROBES_PER_S), now_ms)

    def is_waiting_solo(self, attempt: str) -> bool:
        """Whether an attempt waits until nothing else runs on the target."""
        return attempt in self._waiting_solo

    def admit(
        self,
        attempt: str,
        customer: str,
        weight: float,
        max_cost: float,
        ticket: int = 0,
        is_solo: bool = False,
    ) -> bool:
        """Start an attempt if it may run now, and return whether it was started.

        A solo attempt that has to wait is started by a later call, once it may run.

        :param max_cost: upper limit of its cost in service units, zero for none.
        :param ticket: the slot reservation it uses, zero for an attempt that the
            gate did not ask for.
        :param is_solo: run it only while nothing else runs on the target. While
            it waits, the gate asks for no requests and declines attempts that it
            did not ask for.
        :return: ``False`` if it already runs, was declined or has to wait, see
            :meth:`is_waiting_solo`.
        """
        if attempt in self._running or not self.is_open:
            self.release_ticket(ticket)
            return False
        has_ticket = self.release_ticket(ticket)
        if is_solo and self._running:
            self._enqueue_solo(attempt)
            return False
        if not has_ticket and not self._can_admit_unsolicited(attempt):
            return False
        if self.is_solo_running:
            return False
        self._start(attempt, customer, weight, max_cost, is_solo)
        return True

    def adopt(self, attempt: str, customer: str, weight: float) -> None:
        """Account for an attempt that a router resumes, even without a free slot.

        It may have been running on the target since before this process restarted.
        """
        if attempt not in self._running:
            self._start(attempt, customer, weight, 0.0, False)

    def cancel_waiting_solo(self, attempt: str) -> None:
        """Remove an attempt from the waiting solo attempts."""
        if attempt in self._waiting_solo:
            self._waiting_solo.remove(attempt)

    def deliver(self, attempt: str, units: float) -> None:
        """Charge service that an attempt received to its customer.

        :param units: service units since the last call.
        """
        running = self._running.get(attempt)
        if running is None or units <= 0:
            return
        running.delivered += units
        self.times.deliver(running.customer, units / running.weight)
        used_reservation = min(running.reserved, units / running.weight)
        running.reserved -= used_reservation
        self.times.reserve(running.customer, -used_reservation)

    def finish(self, attempt: str, is_complete: bool) -> float:
        """End an attempt and release the unused part of its estimate.

        :param is_complete: whether it ran to completion. Only then is its cost
            used for later estimates.
        :return: the service units it received.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return 0.0
        self.times.reserve(running.customer, -running.reserved)
        if is_complete:
            self.estimator.observe(running.customer, running.delivered)
        return running.delivered

    def _start(
        self, attempt: str, customer: str, weight: float, max_cost: float, is_solo: bool
    ) -> None:
        self.cancel_waiting_solo(attempt)
        units = self.estimator.estimate(customer, max_cost) / weight
        self._running[attempt] = _RunningAttempt(
            customer, weight, units, is_solo=is_solo
        )
        self.times.reserve(customer, units)

    def _can_request_work(self) -> bool:
        is_blocked = bool(self._waiting_solo) or self.is_solo_running
        return self.is_open and not is_blocked and self.free > 0

    def _can_admit_unsolicited(self, attempt: str) -> bool:
        if self._waiting_solo:
            return self.is_waiting_solo(attempt) and not self._running
        return self.free > 0 and not self._offers and self.pace is None

    def _enqueue_solo(self, attempt: str) -> None:
        if attempt not in self._waiting_solo:
            self._waiting_solo.append(attempt)

    def _issue_ticket(self, customer: str, now_ms: int) -> PullDecision:
        offer = self._offers[customer]
        router = next(iter(offer.counts))
        # Reinserting the router at the end gives round robin over a customer's routers.
        count = offer.counts.pop(router) - 1
        if count > 0:
            offer.counts[router] = count
        units = self.estimator.estimate(customer) / offer.weight
        ticket = self._next_ticket
        self._next_ticket += 1
        self._reservations[ticket] = _SlotReservation(router, customer, units, now_ms)
        self.times.reserve(customer, units)
        self._remove_if_empty(customer)
        return PullDecision(router, customer, ticket)

    def _remove_if_empty(self, customer: str) -> None:
        offer = self._offers.get(customer)
        if offer is not None and not offer.counts:
            del self._offers[customer]
            self.times.leave(customer)
