"""Assemble the answer to a request from the parts of its attempts.

Parts are matched by attempt and chunk offset: late and duplicate parts are
dropped, and missing parts are detected. After a retry from the start, the new
chunks are compared with those already delivered to the caller; the answer is
continued only if they agree.
"""

import enum
import json
import typing as t

import attrs


class ChunkStatus(enum.Enum):
    """The result of :meth:`Answer.accept`.

    ``ACCEPTED`` means that the part was accepted, ``GAP`` that earlier chunks are
    missing, ``FOREIGN`` that the part belongs to another attempt, ``CONTRADICTION``
    that a chunk differs from a delivered one.
    """

    ACCEPTED = "taken"
    GAP = "gap"
    FOREIGN = "foreign"
    CONTRADICTION = "contradiction"


@attrs.define
class Answer:
    """The chunks of an answer received so far.

    :param chunks: payloads in order.
    :param delivered: number of chunks already delivered to the caller.
    """

    chunks: list[bytes] = attrs.Factory(list)
    delivered: int = 0
    _attempt: str = ""
    _position: int = 0

    @property
    def attempt(self) -> str:
        """The attempt whose parts are accepted."""
        return self._attempt

    @property
    def position(self) -> int:
        """Number of chunks received from the current attempt."""
        return self._position

    def begin_attempt(self, attempt: str) -> None:
        """Accept only parts of another attempt from now on, from its first chunk."""
        self._attempt = attempt
        self._position = 0

    def accept(
        self, attempt: str, offset: int, chunks: t.Sequence[bytes]
    ) -> ChunkStatus:
        """Add a part of the answer, skipping chunks already received.

        :param attempt: the attempt that it belongs to.
        :param offset: index of its first chunk.
        :param chunks: its payloads.
        """
        if attempt != self._attempt:
            return ChunkStatus.FOREIGN
        if offset > self._position:
            return ChunkStatus.GAP
        for chunk in chunks[self._position - offset :]:
            if not self._append(chunk):
                return ChunkStatus.CONTRADICTION
        return ChunkStatus.ACCEPTED

    def is_complete(self, total: int) -> bool:
        """Whether all chunks of the current attempt were received.

        :param total: number of chunks that the target produced.
        """
        return self._position == total

    def truncate(self) -> None:
        """Drop chunks of earlier attempts beyond the end of the current one."""
        del self.chunks[self._position :]

    def _append(self, chunk: bytes) -> bool:
        """Add the next chunk of the current attempt.

        :return: whether it agrees with the chunk delivered at its position, if any.
        """
        index = self._position
        self._position += 1
        if index == len(self.chunks):
            self.chunks.append(chunk)
            return True
        if _comparable_content(chunk) == _comparable_content(self.chunks[index]):
            return True
        if index < self.delivered:
            return False
        del self.chunks[index:]
        self.chunks.append(chunk)
        return True


def _comparable_content(chunk: bytes) -> t.Any:
    """Return the part of a chunk to compare: its choices, or all of it.

    Identifiers and times differ between attempts.
    """
    try:
        fields = json.loads(chunk)
    except (ValueError, RecursionError):
        return chunk
    if isinstance(fields, dict) and "choices" in fields:
        return fields["choices"]
    return fields
