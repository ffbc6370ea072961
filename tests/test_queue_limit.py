"""Test the queue limit under declined dispatches, and rate-limited log appends.

A burst to an idle service is dispatched at once, so requests that a gate declines
return to the queue after admission and could exceed its limit.
"""

import asyncio
import types

import attrs
import pytest

from snipedeal import defaults
from snipedeal.clock import Clock
from snipedeal.exceptions import LogBusyError
from snipedeal.messages import DispatchDeclined
from snipedeal.metrics import Metrics
from snipedeal.placement import Candidate
from snipedeal.quarantine import CrashEvidence
from snipedeal.quarantine import Quarantine
from snipedeal.retries import RetryBudgets
from snipedeal_router.dispatcher import Dispatcher
from snipedeal_router.incidents import IncidentReader
from snipedeal_router.publishing import Publisher
from snipedeal_router.requests import Phase
from snipedeal_router.requests import Request


class StubGates:
    """One gate with four slots that never appears to be full."""

    def candidates(self, service, now_ms):
        return [Candidate("gate", "zone", 0, 4)]

    def usable(self, service):
        return ["gate"]

    def note_busy(self, gate, now_ms):
        pass

    def add_attempt(self, gate, attempt):
        pass

    def remove_attempt(self, gate, attempt):
        pass


def make_dispatcher(max_queued):
    customer = types.SimpleNamespace(max_queued=max_queued, share=lambda service: 1.0)
    node = types.SimpleNamespace(
        clock=Clock(),
        name="router",
        membership=None,
        transport=None,
        metrics=Metrics(),
        is_closing=False,
        settings=types.SimpleNamespace(zone="zone"),
        configuration=types.SimpleNamespace(customer=lambda name: customer),
        events=types.SimpleNamespace(add=lambda *args, **fields: None),
        send=lambda peer, message: True,
    )
    router = types.SimpleNamespace(
        node=node,
        settings=types.SimpleNamespace(placement="spread"),
        quarantine=Quarantine(),
        evidence=CrashEvidence(),
        budgets=RetryBudgets(),
    )
    router.plugins = {"incidents": IncidentReader(router)}
    dispatcher = Dispatcher(router)
    dispatcher._gates = StubGates()
    return dispatcher


def make_request(number):
    return Request(
        id=f"r{number}",
        customer="one",
        service="model",
        spec=types.SimpleNamespace(dialect="openai"),
        weight=1.0,
        method="POST",
        path="/",
        headers={},
        body=b"",
        fingerprint=f"f{number}",
        is_idempotent=True,
        arrived_ms=0,
        deadline_ms=Clock().now_ms() + 3_600_000,
    )


def test_burst_to_an_idle_service_respects_the_queue_limit():
    async def check():
        dispatcher = make_dispatcher(max_queued=2)
        requests = [make_request(n) for n in range(20)]
        for request in requests:
            dispatcher.submit(request)
        # The gate has four slots and declines all other requests.
        for request in requests[4:]:
            dispatcher._on_dispatch_declined(
                "gate", DispatchDeclined(request.attempt, "slots")
            )
        queued = [r for r in requests if r.phase is Phase.QUEUED]
        refused = [r for r in requests if r.refusal is not None]
        assert len(queued) == 2
        assert len(refused) == 14
        for request in refused:
            assert request.refusal.status == 429
            assert request.refusal.code == "queue_full"
            assert request.refusal.ran == "not_run"

    asyncio.run(check())


def test_request_queued_before_is_exempt_from_the_limit_when_declined():
    async def check():
        dispatcher = make_dispatcher(max_queued=1)
        first, second = make_request(1), make_request(2)
        dispatcher.submit(first)
        dispatcher.submit(second)
        dispatcher._on_dispatch_declined(
            "gate", DispatchDeclined(first.attempt, "slots")
        )
        assert first.phase is Phase.QUEUED
        dispatcher._backlog("model").dequeue("one", "gate")
        dispatcher._dispatch(first, "gate", 1)
        dispatcher._on_dispatch_declined(
            "gate", DispatchDeclined(second.attempt, "slots")
        )
        assert second.phase is Phase.QUEUED
        dispatcher._on_dispatch_declined(
            "gate", DispatchDeclined(first.attempt, "slots")
        )
        assert first.phase is Phase.QUEUED
        assert first.refusal is None

    asyncio.run(check())


@attrs.define
class RateLimitedLog:
    """A log service that rejects the next ``refusals`` appends by rate limit."""

    refusals: int
    appended: int = 0

    async def append(self, stream, text):
        if self.refusals:
            self.refusals -= 1
            raise LogBusyError("over its rate", "append", "log")
        self.appended += 1
        return 7


def test_rate_limited_append_is_retried(monkeypatch):
    monkeypatch.setattr(defaults, "LOG_RETRY_MS", 1)
    log = RateLimitedLog(refusals=5)
    offset = asyncio.run(Publisher(log)._append_with_retries("{}"))
    assert (offset, log.appended) == (7, 1)


def test_append_retries_are_limited(monkeypatch):
    monkeypatch.setattr(defaults, "LOG_RETRY_MS", 1)
    log = RateLimitedLog(refusals=10_000)
    with pytest.raises(LogBusyError):
        asyncio.run(Publisher(log)._append_with_retries("{}"))
    assert log.appended == 0
