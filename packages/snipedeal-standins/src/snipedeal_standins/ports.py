"""Draw loopback ports for the processes of a test."""

import itertools
import os
import socket
import typing as t

_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_PORT_STRIDE = 211  # distance between the first ports of consecutive process ids


def _candidate_ports() -> t.Iterator[int]:
    """Return an endless cycle of ports below the ephemeral port range.

    The process id sets the start, so that concurrent test processes try different
    ports first.
    """
    size = _LAST_PORT - _FIRST_PORT
    start = os.getpid() * _PORT_STRIDE % size
    return (_FIRST_PORT + (start + n) % size for n in itertools.count())


_port_candidates = _candidate_ports()


def free_port() -> int:
    """Return a loopback TCP port that is free at the time of the call."""
    for port in _port_candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free TCP port on the loopback interface")
