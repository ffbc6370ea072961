"""Command line of the simulated services: ``python -m snipedeal_standins KIND``."""

import defopt

from snipedeal_standins import engine
from snipedeal_standins import log
from snipedeal_standins import plain
from snipedeal_standins import relay
from snipedeal_standins import vms

if __name__ == "__main__":
    defopt.run(
        {
            "engine": engine.run,
            "log": log.run,
            "plain": plain.run,
            "relay": relay.run,
            "vms": vms.run,
        }
    )
