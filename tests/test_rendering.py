"""Documents that take long to render."""

from snipedeal.rendering import Rendering


class SlowDocument:
    """A document that takes a time to render, on a clock of its own."""

    def __init__(self, took_ms):
        self.now_ms = 0.0
        self.count = 0
        self._took_ms = took_ms

    def render(self):
        self.now_ms += self._took_ms
        self.count += 1
        return self.count


def test_a_crowd_of_readers_takes_a_part_of_the_time():
    """Guards against an event loop that only renders."""
    document = SlowDocument(took_ms=300.0)
    rendering = Rendering(document.render, lambda: document.now_ms)
    while document.now_ms < 60_000:
        rendering.get()
        document.now_ms += 1
    assert document.count * 300.0 < 0.25 * document.now_ms


def test_a_reader_that_comes_later_gets_a_new_document():
    document = SlowDocument(took_ms=2.0)
    rendering = Rendering(document.render, lambda: document.now_ms)
    assert [rendering.get(), rendering.get()] == [1, 1]
    document.now_ms += 20.0
    assert rendering.get() == 2
