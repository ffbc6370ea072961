"""Command line of the direct router."""

import sys

from snipedeal_direct.startup import lean_imports


def direct(settings: str) -> int:
    """Run a router that forwards requests to targets itself, until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 on a failure, 2 for invalid
    settings.

    :param settings: JSON file with the router's settings.
    """
    # Help and errors of the command line need none of the router's modules.
    with lean_imports():
        from snipedeal_direct.serve import run
    return run(settings)


def main() -> int:
    """Parse the command line and run the router; return the exit status."""
    if len(sys.argv) == 2 and not sys.argv[1].startswith("-"):
        return direct(sys.argv[1])
    # Only help and errors need it: it takes 9 MB, which the router would keep.
    import defopt

    return defopt.run(direct)


if __name__ == "__main__":
    sys.exit(main())
