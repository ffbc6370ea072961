"""Command line of a router that forwards directly."""

import sys

import defopt

from snipedeal_direct.serve import run


def direct(settings: str) -> int:
    """Run a router that forwards to targets itself, until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 on a failure, 2 for unusable
    settings.

    :param settings: JSON file with the router's settings.
    """
    return run(settings)


if __name__ == "__main__":
    sys.exit(defopt.run(direct))
