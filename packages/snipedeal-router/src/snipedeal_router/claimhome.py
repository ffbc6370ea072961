"""Settle claims for the partitions of which this router is the home.

Being the home is a matter of efficiency only: whoever appends a claim and
reads the stream up to it gets the same verdict. Two routers that both believe
to be the home of a partition therefore can't both grant one key.
"""

import asyncio
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.claims import FINISHED
from snipedeal.claims import GRANTED
from snipedeal.claims import RUNNING
from snipedeal.claims import Claim
from snipedeal.claims import Ledger
from snipedeal.claims import Outcome
from snipedeal.claims import Release
from snipedeal.claims import Verdict
from snipedeal.claims import encode_entries
from snipedeal.exceptions import LogUnavailableError
from snipedeal.messages import ClaimAnswer
from snipedeal.messages import ClaimAsk
from snipedeal.messages import ClaimClose
from snipedeal.node import Node
from snipedeal.platform import LogBatch
from snipedeal.platform import follow_stream
from snipedeal.utils import new_id

INCOMPLETE = "incomplete"
UNAVAILABLE = "unavailable"

AnswerFunction = t.Callable[[ClaimAnswer], None]


@attrs.frozen
class _Waiting:
    """A claim that waits to be settled."""

    claim: Claim
    answer: AnswerFunction
    until_ms: int


@attrs.frozen
class _Closing:
    """An entry that ends a claim, and whom to tell when it is in the log."""

    entry: Outcome | Release
    on_appended: t.Callable[[], None]


class Partition:
    """One claim stream, followed and written.

    :param node: the node of the router.
    :param number: number of the partition.
    """

    def __init__(self, node: Node, number: int) -> None:
        self._node = node
        self._stream = f"{defaults.CLAIM_STREAM_PREFIX}{number}"
        self._ledger = Ledger()
        self._asked: list[_Waiting] = []
        self._held: list[_Waiting] = []
        self._closing: list[_Closing] = []
        self._abandoned: set[str] = set()
        self._progress = asyncio.Event()
        self._has_work = asyncio.Event()
        self._carried_ms = node.clock.now_ms()
        self._is_read = False
        self._tasks = [
            node.run_loop(self._follow, f"claims-follow-{number}"),
            node.run_loop(self._write, f"claims-write-{number}"),
        ]

    @property
    def ledger(self) -> Ledger:
        """The claims read so far."""
        return self._ledger

    @property
    def is_busy(self) -> bool:
        """Whether something waits to be written."""
        return bool(self._asked or self._closing)

    def close(self) -> None:
        """Stop following and writing."""
        for task in self._tasks:
            task.cancel()

    def ask(self, message: ClaimAsk, answer: AnswerFunction) -> None:
        """Settle a claim; the answer comes within the claim time limit."""
        claim = Claim(message.key, message.attempt, message.fingerprint)
        until_ms = self._node.clock.now_ms() + defaults.CLAIM_TIMEOUT_MS
        self._asked.append(_Waiting(claim, answer, until_ms))
        self._has_work.set()

    def end(self, message: ClaimClose, on_appended: t.Callable[[], None]) -> None:
        """Write the end of a claim."""
        entry: Outcome | Release
        if message.is_released:
            entry = Release(message.key, message.attempt)
        else:
            entry = Outcome(
                message.key,
                message.attempt,
                message.status,
                message.content_type,
                message.body,
                message.has_body,
            )
        self._closing.append(_Closing(entry, on_appended))
        self._has_work.set()

    def tick(self, now_ms: int) -> None:
        """Answer repeats that waited long enough, and carry claims forward.

        :param now_ms: monotonic time.
        """
        self._judge_held()
        self._carry_if_due(now_ms)

    def _carry_if_due(self, now_ms: int) -> None:
        """Carry claims forward when the log is about to drop them."""
        interval_ms = self._node.settings.platform.log_retention_ms // 3
        is_old = now_ms - self._carried_ms >= interval_ms
        if not self._ledger.is_complete or not (is_old or self._ledger.is_carry_due):
            return
        self._carried_ms = now_ms
        if len(self._ledger):
            self._node.run_task(self._carry(), "claims-carry")

    # -- reading -------------------------------------------------------------

    async def _follow(self) -> None:
        await follow_stream(
            self._node.log,
            self._stream,
            lambda: self._ledger.offset + 1,
            self._on_batch,
            lambda error: self._node.note_log(True, "claims", str(error)),
        )

    def _on_batch(self, batch: LogBatch) -> None:
        self._node.note_log(False, "claims")
        self._ledger.note_start(batch.start)
        for record in batch.records:
            for claim in self._ledger.apply(record.offset, record.data):
                self._release_if_abandoned(claim)
        self._is_read = self._ledger.offset + 1 >= batch.next
        self._judge_held()
        self._progress.set()
        self._progress = asyncio.Event()

    def _release_if_abandoned(self, claim: Claim) -> None:
        """Free a key whose asker was told that the claim did not succeed."""
        if claim.attempt in self._abandoned:
            self._abandoned.discard(claim.attempt)
            release = Release(claim.key, claim.attempt)
            self._closing.append(_Closing(release, _do_nothing))
            self._has_work.set()

    # -- writing -------------------------------------------------------------

    async def _write(self) -> None:
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            await asyncio.sleep(defaults.CLAIM_BATCH_WINDOW_MS / 1000)
            while self.is_busy:
                await self._write_batch()

    async def _write_batch(self) -> None:
        asked, self._asked = self._asked, []
        closing, self._closing = self._closing, []
        fresh = [waiting for waiting in asked if not self._answer_known(waiting)]
        entries = [waiting.claim for waiting in fresh] + [c.entry for c in closing]
        if not entries:
            return
        try:
            offset = await self._node.log.append(self._stream, encode_entries(entries))
        except LogUnavailableError as error:
            self._node.note_log(True, "claims", str(error))
            self._closing = closing + self._closing
            self._keep_or_refuse(fresh)
            await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
            return
        for item in closing:
            item.on_appended()
        if fresh:
            self._node.run_task(self._settle(fresh, offset), "claims-settle")

    def _answer_known(self, waiting: _Waiting) -> bool:
        """Answer from the ledger where it already knows an owner."""
        if not self._is_read:
            return False
        verdict = self._ledger.judge(waiting.claim)
        if verdict is None:
            return False
        if verdict.state == GRANTED and not self._ledger.is_complete:
            return False
        self._answer_or_hold(waiting, verdict)
        return True

    def _keep_or_refuse(self, asked: list[_Waiting]) -> None:
        """Try claims again whose append had no answer, until their time is up.

        Appending a claim again is harmless: its attempt owns the key either
        way if the first append took effect.
        """
        now_ms = self._node.clock.now_ms()
        for waiting in asked:
            if now_ms < waiting.until_ms:
                self._asked.append(waiting)
            else:
                self._refuse(waiting, UNAVAILABLE)

    async def _settle(self, asked: list[_Waiting], offset: int) -> None:
        """Answer claims once the stream was read up to them."""
        until_ms = max(waiting.until_ms for waiting in asked)
        while self._ledger.offset < offset:
            left_ms = until_ms - self._node.clock.now_ms()
            if left_ms <= 0:
                break
            progress = self._progress
            try:
                await asyncio.wait_for(progress.wait(), left_ms / 1000)
            except TimeoutError:
                break
        for waiting in asked:
            self._answer_read(waiting, offset)

    def _answer_read(self, waiting: _Waiting, offset: int) -> None:
        if self._ledger.offset < offset:
            self._refuse(waiting, UNAVAILABLE)
            return
        verdict = self._ledger.judge(waiting.claim)
        if verdict is None:
            self._refuse(waiting, UNAVAILABLE)
        elif not self._ledger.is_complete and verdict.state != FINISHED:
            self._refuse(waiting, INCOMPLETE)
        else:
            self._answer_or_hold(waiting, verdict)

    def _answer_or_hold(self, waiting: _Waiting, verdict: Verdict) -> None:
        """Answer, but let a repeat wait for the end of the running request."""
        is_early = self._node.clock.now_ms() < waiting.until_ms
        if verdict.state == RUNNING and is_early:
            self._held.append(waiting)
        else:
            self._answer(waiting, verdict)

    def _judge_held(self) -> None:
        held, self._held = self._held, []
        for waiting in held:
            verdict = self._ledger.judge(waiting.claim)
            if verdict is None:
                # the owner was released, so that the repeat may claim.
                self._asked.append(waiting)
                self._has_work.set()
            else:
                self._answer_or_hold(waiting, verdict)

    def _refuse(self, waiting: _Waiting, verdict: str) -> None:
        claim = waiting.claim
        entry = self._ledger.find(claim.key)
        if entry is not None and entry.attempt == claim.attempt:
            self._closing.append(
                _Closing(Release(claim.key, claim.attempt), _do_nothing)
            )
            self._has_work.set()
        else:
            self._abandoned.add(claim.attempt)
        waiting.answer(ClaimAnswer(claim.key, claim.attempt, verdict))

    def _answer(self, waiting: _Waiting, verdict: Verdict) -> None:
        claim = waiting.claim
        entry = verdict.entry
        answer = ClaimAnswer(
            claim.key, claim.attempt, verdict.state, entry.offset, entry.attempt
        )
        outcome = entry.outcome
        if verdict.state == FINISHED and outcome is not None:
            answer = attrs.evolve(
                answer,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
                has_body=outcome.has_body,
            )
        waiting.answer(answer)

    async def _carry(self) -> None:
        parts = self._ledger.carry(new_id("carry"))
        try:
            for part in parts:
                await self._node.log.append(self._stream, encode_entries([part]))
        except LogUnavailableError as error:
            self._node.note_log(True, "claims", str(error))
            return
        self._node.events.add(
            "claims.carried", stream=self._stream, keys=len(self._ledger)
        )


def _do_nothing() -> None:
    """Take no notice."""
