"""Decide what a target runs next.

A gate stands beside one target. Routers hold the requests and tell the gate
how many of each customer wait; when the target has room, the gate asks a
router for the next request of the customer with the smallest virtual time.
Which request runs where is thus bound as late as possible. All functions are
pure: events come in, decisions go out, time is passed in.
"""

import attrs

from snipedeal import defaults
from snipedeal.estimator import CostEstimator
from snipedeal.fairness import VirtualTimes


@attrs.frozen
class TakeDecision:
    """Ask a router for the next request of a customer."""

    router: str
    customer: str
    ticket: int


@attrs.define
class _Offered:
    """Queued work of a customer by router."""

    weight: float
    counts: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class _Ticket:
    """A slot held for the answer to a take."""

    router: str
    customer: str
    units: float
    issued_ms: int


@attrs.define
class _Running:
    """An attempt on the target."""

    customer: str
    weight: float
    reserved: float
    delivered: float = 0.0
    is_solo: bool = False


@attrs.define
class Gate:
    """Slots, offers and running attempts of one target.

    :param slots: how many requests the target runs at once.
    """

    slots: int
    times: VirtualTimes = attrs.Factory(VirtualTimes)
    estimator: CostEstimator = attrs.Factory(CostEstimator)
    is_open: bool = True
    _offers: dict[str, _Offered] = attrs.Factory(dict)
    _tickets: dict[int, _Ticket] = attrs.Factory(dict)
    _running: dict[str, _Running] = attrs.Factory(dict)
    _solo_waiting: list[str] = attrs.Factory(list)
    _next_ticket: int = 1

    @property
    def running(self) -> int:
        """Attempts on the target now."""
        return len(self._running)

    @property
    def free(self) -> int:
        """Slots that are neither used nor held by a ticket."""
        return max(0, self.slots - len(self._running) - len(self._tickets))

    @property
    def is_solo_running(self) -> bool:
        """Whether an attempt runs that must be alone on the target."""
        return any(running.is_solo for running in self._running.values())

    def queued(self) -> int:
        """Return how many requests routers have offered."""
        return sum(sum(offer.counts.values()) for offer in self._offers.values())

    @property
    def has_offers(self) -> bool:
        """Whether any request was offered."""
        return bool(self._offers)

    def set_offer(self, router: str, customer: str, weight: float, count: int) -> None:
        """Note how many requests of a customer wait at a router.

        :param weight: the customer's share, above zero.
        :param count: requests waiting; zero withdraws the offer.
        """
        if count > 0:
            offer = self._offers.setdefault(customer, _Offered(weight))
            offer.weight = weight
            offer.counts[router] = count
            self.times.join(customer)
            return
        offer = self._offers.get(customer)
        if offer is not None:
            offer.counts.pop(router, None)
            self._drop_if_empty(customer)

    def forget_router(self, router: str) -> None:
        """Drop the offers and tickets of a router that is gone."""
        for customer in list(self._offers):
            self._offers[customer].counts.pop(router, None)
            self._drop_if_empty(customer)
        for number, ticket in list(self._tickets.items()):
            if ticket.router == router:
                self.release_ticket(number)

    def next_takes(self, now_ms: int) -> list[TakeDecision]:
        """Return the requests to ask for, as many as there is room.

        :param now_ms: monotonic time.
        """
        takes: list[TakeDecision] = []
        while self._may_take():
            customer = self.times.select()
            if customer is None:
                break
            takes.append(self._issue_ticket(customer, now_ms))
        return takes

    def release_ticket(self, number: int) -> bool:
        """Give a held slot back.

        :return: whether the ticket was still held.
        """
        ticket = self._tickets.pop(number, None)
        if ticket is None:
            return False
        self.times.reserve(ticket.customer, -ticket.units)
        return True

    def expire_tickets(self, now_ms: int) -> list[int]:
        """Release the tickets whose answers stay out; return their numbers.

        :param now_ms: monotonic time.
        """
        late = [
            number
            for number, ticket in self._tickets.items()
            if now_ms - ticket.issued_ms >= defaults.TAKE_TIMEOUT_MS
        ]
        for number in late:
            self.release_ticket(number)
        return late

    def is_waiting_solo(self, attempt: str) -> bool:
        """Whether an attempt waits for the target to be empty."""
        return attempt in self._solo_waiting

    def admit(
        self,
        attempt: str,
        customer: str,
        weight: float,
        hint: float,
        ticket: int = 0,
        is_solo: bool = False,
    ) -> bool:
        """Decide whether an attempt may start now.

        :param hint: upper limit of its cost, zero for none.
        :param ticket: the ticket it answers, zero for an attempt that was
            sent without having been asked for.
        :param is_solo: it must be alone on the target. Where it can't start,
            it keeps its place and other work is held back.
        """
        if attempt in self._running or not self.is_open:
            self.release_ticket(ticket)
            return False
        has_ticket = self.release_ticket(ticket)
        if is_solo and self._running:
            self._remember_solo(attempt)
            return False
        if not has_ticket and not self._has_room_unasked(attempt):
            return False
        if self.is_solo_running:
            return False
        self._start(attempt, customer, weight, hint, is_solo)
        return True

    def adopt(self, attempt: str, customer: str, weight: float) -> None:
        """Count an attempt that already runs on the target.

        It was started before this process was, or under an earlier session.
        """
        if attempt not in self._running:
            self._start(attempt, customer, weight, 0.0, False)

    def cancel_solo(self, attempt: str) -> None:
        """Give up the place of an attempt that waited to be alone."""
        if attempt in self._solo_waiting:
            self._solo_waiting.remove(attempt)

    def deliver(self, attempt: str, units: float) -> None:
        """Charge service that an attempt received.

        :param units: service units.
        """
        running = self._running.get(attempt)
        if running is None or units <= 0:
            return
        running.delivered += units
        self.times.deliver(running.customer, units / running.weight)
        covered = min(running.reserved, units / running.weight)
        running.reserved -= covered
        self.times.reserve(running.customer, -covered)

    def finish(self, attempt: str, is_whole: bool) -> float:
        """End an attempt and settle its charge.

        :param is_whole: it ran to its end, so that its cost can be learned.
        :return: the service units it received.
        """
        running = self._running.pop(attempt, None)
        if running is None:
            return 0.0
        self.times.reserve(running.customer, -running.reserved)
        if is_whole:
            self.estimator.observe(running.customer, running.delivered)
        return running.delivered

    def _start(
        self, attempt: str, customer: str, weight: float, hint: float, is_solo: bool
    ) -> None:
        self.cancel_solo(attempt)
        units = self.estimator.estimate(customer, hint) / weight
        self._running[attempt] = _Running(customer, weight, units, is_solo=is_solo)
        self.times.reserve(customer, units)

    def _may_take(self) -> bool:
        is_held = bool(self._solo_waiting) or self.is_solo_running
        return self.is_open and not is_held and self.free > 0

    def _has_room_unasked(self, attempt: str) -> bool:
        if self._solo_waiting:
            return self.is_waiting_solo(attempt) and not self._running
        return self.free > 0 and not self._offers

    def _remember_solo(self, attempt: str) -> None:
        if attempt not in self._solo_waiting:
            self._solo_waiting.append(attempt)

    def _issue_ticket(self, customer: str, now_ms: int) -> TakeDecision:
        offer = self._offers[customer]
        router = next(iter(offer.counts))
        # the router moves to the end, so that routers of a customer take turns.
        count = offer.counts.pop(router) - 1
        if count > 0:
            offer.counts[router] = count
        units = self.estimator.estimate(customer) / offer.weight
        number = self._next_ticket
        self._next_ticket += 1
        self._tickets[number] = _Ticket(router, customer, units, now_ms)
        self.times.reserve(customer, units)
        self._drop_if_empty(customer)
        return TakeDecision(router, customer, number)

    def _drop_if_empty(self, customer: str) -> None:
        offer = self._offers.get(customer)
        if offer is not None and not offer.counts:
            del self._offers[customer]
            self.times.leave(customer)
