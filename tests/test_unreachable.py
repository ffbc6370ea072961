"""Targets that a router can't connect to."""

import pytest
from test_queueing import make_call
from test_queueing import make_queue

from snipedeal_direct import defaults
from snipedeal_direct.model import Target
from snipedeal_direct.queueing import Dispatched
from snipedeal_standins.edge import make_router


def make_dispatched(queue, count):
    return [
        Dispatched(call, load, load.begin(call, 0.0))
        for load in list(queue.targets.values())[:count]
        for call in [make_call(load.target.id, 0.0)]
    ]


@pytest.mark.parametrize("targets", [12, 60])
def test_timeouts_of_the_routers_own_link_do_not_eject_all_targets(targets):
    dispatcher = make_router("router-0", "127.0.0.1:1").dispatcher
    dispatcher.queues["s"] = queue = make_queue(targets=targets)
    for dispatched in make_dispatched(queue, targets):
        dispatcher.note_unreachable(dispatched, is_timeout=True)
    usable = queue.usable(dispatcher._clock.now_ms())
    assert len(usable) >= targets * (1 - defaults.TIMEOUT_EJECTION_FRACTION)


def test_single_target_that_times_out_is_ejected():
    dispatcher = make_router("router-0", "127.0.0.1:1").dispatcher
    dispatcher.queues["s"] = queue = make_queue(targets=6)
    dispatcher.note_unreachable(make_dispatched(queue, 1)[0], is_timeout=True)
    assert len(queue.usable(dispatcher._clock.now_ms())) == 5


def test_all_targets_that_refuse_connections_are_ejected():
    dispatcher = make_router("router-0", "127.0.0.1:1").dispatcher
    dispatcher.queues["s"] = queue = make_queue(targets=6)
    for dispatched in make_dispatched(queue, 6):
        dispatcher.note_unreachable(dispatched, is_timeout=False)
    assert not queue.usable(dispatcher._clock.now_ms())
    queue.set_target(Target("new", "s", "host", 1, "zone-a", 64))
    assert len(queue.usable(dispatcher._clock.now_ms())) == 1
