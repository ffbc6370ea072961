"""Put the answer to a request together from the parts of its attempts.

Parts are matched by attempt and chunk offset. Late and doubled parts are
dropped, a missing part is noticed. When an attempt is run again from the
start, its chunks are compared with those that the caller already has; an
answer is joined only where they agree.
"""

import enum
import json
import typing as t

import attrs


class Verdict(enum.Enum):
    """What became of a part."""

    TAKEN = "taken"
    GAP = "gap"
    FOREIGN = "foreign"
    CONTRADICTION = "contradiction"


@attrs.define
class Answer:
    """The chunks of an answer, so far.

    :param chunks: payloads in order.
    :param delivered: chunks that the caller already has.
    """

    chunks: list[bytes] = attrs.Factory(list)
    delivered: int = 0
    _attempt: str = ""
    _position: int = 0

    @property
    def attempt(self) -> str:
        """The attempt whose parts are taken."""
        return self._attempt

    @property
    def position(self) -> int:
        """Chunks received of the current attempt."""
        return self._position

    def begin(self, attempt: str) -> None:
        """Take parts of another attempt from now on, from its first chunk."""
        self._attempt = attempt
        self._position = 0

    def accept(self, attempt: str, offset: int, chunks: t.Sequence[bytes]) -> Verdict:
        """Take a part.

        :param attempt: the attempt that it belongs to.
        :param offset: index of its first chunk.
        :param chunks: its payloads.
        """
        if attempt != self._attempt:
            return Verdict.FOREIGN
        if offset > self._position:
            return Verdict.GAP
        for chunk in chunks[self._position - offset :]:
            if not self._append(chunk):
                return Verdict.CONTRADICTION
        return Verdict.TAKEN

    def is_whole(self, total: int) -> bool:
        """Whether the current attempt's chunks are all here.

        :param total: number of chunks that the target produced.
        """
        return self._position == total

    def close(self) -> None:
        """Drop chunks of an earlier attempt beyond the end of this one."""
        del self.chunks[self._position :]

    def _append(self, chunk: bytes) -> bool:
        """Add the next chunk; return whether it agrees with earlier ones."""
        index = self._position
        self._position += 1
        if index == len(self.chunks):
            self.chunks.append(chunk)
            return True
        if _content(chunk) == _content(self.chunks[index]):
            return True
        if index < self.delivered:
            return False
        del self.chunks[index:]
        self.chunks.append(chunk)
        return True


def _content(chunk: bytes) -> t.Any:
    """Return what counts of a chunk: its choices, or else all of it.

    Identifiers and times differ from run to run.
    """
    try:
        fields = json.loads(chunk)
    except ValueError:
        return chunk
    if isinstance(fields, dict) and "choices" in fields:
        return fields["choices"]
    return fields
