"""Import the router's modules without what its libraries import for other uses.

A start takes most of its processor time for imports, and the smallest VM has a third of
a core. ``asyncio`` imports ``ssl`` for TLS; ``prometheus_client`` imports HTTP servers
and clients for serving and pushing metrics. The router uses neither.
"""

import contextlib
import gc
import sys
import types
import typing as t

#: Modules that ``prometheus_client.exposition`` imports but does not use to render
#: metrics.
_UNUSED_BY_RENDERING = (
    "http.server",
    "ssl",
    "urllib.request",
    "wsgiref.simple_server",
)


class _Placeholder(types.ModuleType):
    """Module whose names are empty classes, for base classes and annotations."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {})


@contextlib.contextmanager
def lean_imports() -> t.Iterator[None]:
    """Import ``asyncio`` and ``prometheus_client`` without what they don't need here.

    Garbage collection is paused until the end: imports leave little garbage, and what
    they create lives as long as the process, so that later collections skip it too.
    Modules that are imported already stay as they are; afterwards all can be imported
    as usual. The process can't use TLS through ``asyncio``, nor the HTTP servers and
    clients of ``prometheus_client``.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        # asyncio supports interpreters without ssl; None makes the import fail.
        with _replaced({"ssl": None}):
            import asyncio  # noqa: F401
        with _replaced({name: _Placeholder(name) for name in _UNUSED_BY_RENDERING}):
            import prometheus_client  # noqa: F401
        yield
    finally:
        gc.freeze()
        if was_enabled:
            gc.enable()


@contextlib.contextmanager
def _replaced(modules: dict[str, types.ModuleType | None]) -> t.Iterator[None]:
    """Put modules in the place of those that are not imported yet."""
    added = {
        name: module for name, module in modules.items() if name not in sys.modules
    }
    sys.modules.update(added)
    try:
        yield
    finally:
        for name in added:
            del sys.modules[name]
