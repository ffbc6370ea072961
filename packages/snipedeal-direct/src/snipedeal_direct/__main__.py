"""Command line of the direct router."""

import sys

import defopt

from snipedeal_direct.serve import run


def direct(settings: str) -> int:
    """Run a router that forwards requests to targets itself, until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 on a failure, 2 for invalid
    settings.

    :param settings: JSON file with the router's settings.
    """
    return run(settings)


if __name__ == "__main__":
    sys.exit(defopt.run(direct))
