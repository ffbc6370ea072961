"""Documents that take long to render and that anyone may ask for."""

import typing as t

from snipedeal import defaults

_T = t.TypeVar("_T")


class Rendering(t.Generic[_T]):
    """Reuse a document for a multiple of the time that it took to render.

    A crowd of readers would otherwise take the event loop.

    :param render: returns the document.
    :param now_ms: returns the monotonic time, ms.
    """

    def __init__(
        self, render: t.Callable[[], _T], now_ms: t.Callable[[], float]
    ) -> None:
        self._render = render
        self._now_ms = now_ms
        self._document: _T | None = None
        self._until_ms = float("-inf")

    def get(self) -> _T:
        """Return the document, rendered anew unless the last one is recent."""
        began_ms = self._now_ms()
        if self._document is None or began_ms >= self._until_ms:
            self._document = self._render()
            ended_ms = self._now_ms()
            took_ms = ended_ms - began_ms
            self._until_ms = ended_ms + took_ms * defaults.RENDERING_REUSE_FACTOR
        return self._document
