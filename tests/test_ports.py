"""Ports that tests hand to processes."""

from snipedeal_standins import edge
from snipedeal_standins import edge_demo
from snipedeal_standins import fleet


def test_port_is_not_drawn_twice():
    drawn = [m.free_port() for m in (edge, edge_demo, fleet) for _ in range(500)]
    assert len(set(drawn)) == len(drawn)
