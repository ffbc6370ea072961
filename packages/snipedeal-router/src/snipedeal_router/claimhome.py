"""Decide claims for the partitions that this router owns.

Partition ownership is only an optimization: every router that appends a claim and
reads the stream up to it gets the same result. Two routers that both consider
themselves the owner of a partition therefore can't both grant one key.
"""

import asyncio
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.claims import FINISHED
from snipedeal.claims import GRANTED
from snipedeal.claims import RUNNING
from snipedeal.claims import Claim
from snipedeal.claims import ClaimResult
from snipedeal.claims import Ledger
from snipedeal.claims import Outcome
from snipedeal.claims import Release
from snipedeal.claims import encode_items
from snipedeal.exceptions import LogUnavailableError
from snipedeal.messages import ClaimClose
from snipedeal.messages import ClaimRequest
from snipedeal.messages import ClaimResponse
from snipedeal.node import Node
from snipedeal.platform import LogBatch
from snipedeal.platform import follow_stream
from snipedeal.utils import new_id

INCOMPLETE = "incomplete"
UNAVAILABLE = "unavailable"

AnswerCallback = t.Callable[[ClaimResponse], None]


@attrs.frozen
class _PendingClaim:
    """A claim that is not resolved yet.

    :param on_answer: called with the response.
    :param until_ms: monotonic time of the timeout.
    """

    claim: Claim
    on_answer: AnswerCallback
    until_ms: int


@attrs.frozen
class _PendingClose:
    """An entry that ends a claim and is not in the log yet.

    :param on_appended: called after the log confirmed the entry.
    """

    entry: Outcome | Release
    on_appended: t.Callable[[], None]


class Partition:
    """Read and write the claim stream of one partition.

    :param node: the node of the router.
    :param number: number of the partition.
    """

    def __init__(self, node: Node, number: int) -> None:
        self._node = node
        self._stream = f"{defaults.CLAIM_STREAM_PREFIX}{number}"
        self._ledger = Ledger()
        self._pending_claims: list[_PendingClaim] = []
        self._blocked_claims: list[_PendingClaim] = []
        self._pending_closes: list[_PendingClose] = []
        self._abandoned_attempts: set[str] = set()
        self._progress = asyncio.Event()
        self._has_work = asyncio.Event()
        self._last_compaction_ms = node.clock.now_ms()
        self._is_caught_up = False
        self._tasks = [
            node.run_loop(self._follow, f"claims-follow-{number}"),
            node.run_loop(self._write, f"claims-write-{number}"),
        ]

    @property
    def ledger(self) -> Ledger:
        """The claims read from the stream so far."""
        return self._ledger

    @property
    def has_unwritten_entries(self) -> bool:
        """Whether entries wait to be appended."""
        return bool(self._pending_claims or self._pending_closes)

    def close(self) -> None:
        """Cancel the tasks that read and write the stream."""
        for task in self._tasks:
            task.cancel()

    def enqueue_claim(self, message: ClaimRequest, on_answer: AnswerCallback) -> None:
        """Queue a claim; it is answered within about ``CLAIM_TIMEOUT_MS``.

        :param on_answer: called with the response.
        """
        claim = Claim(message.key, message.attempt, message.fingerprint)
        until_ms = self._node.clock.now_ms() + defaults.CLAIM_TIMEOUT_MS
        self._pending_claims.append(_PendingClaim(claim, on_answer, until_ms))
        self._has_work.set()

    def enqueue_close(
        self, message: ClaimClose, on_appended: t.Callable[[], None]
    ) -> None:
        """Queue the outcome or the release of a claim.

        :param on_appended: called after the log confirmed the entry.
        """
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
        self._pending_closes.append(_PendingClose(entry, on_appended))
        self._has_work.set()

    def tick(self, now_ms: int) -> None:
        """Check blocked claims again, and compact the stream when due.

        :param now_ms: monotonic time.
        """
        self._recheck_blocked()
        self._compact_if_due(now_ms)

    def _compact_if_due(self, now_ms: int) -> None:
        """Start a compaction before log retention deletes claims still needed.

        One is due after a third of the log's retention time, or earlier if the
        ledger asks for it.
        """
        interval_ms = self._node.settings.platform.log_retention_ms // 3
        is_old = now_ms - self._last_compaction_ms >= interval_ms
        if not self._ledger.is_complete or not (
            is_old or self._ledger.is_compaction_due
        ):
            return
        self._last_compaction_ms = now_ms
        if len(self._ledger):
            self._node.run_task(self._compact(), "claims-carry")

    # -- reading -------------------------------------------------------------

    async def _follow(self) -> None:
        await follow_stream(
            self._node.log,
            self._stream,
            lambda: self._ledger.offset + 1,
            self._on_batch,
            lambda error: self._node.report_log_status(True, "claims", str(error)),
        )

    def _on_batch(self, batch: LogBatch) -> None:
        self._node.report_log_status(False, "claims")
        self._ledger.set_log_start(batch.start)
        for record in batch.records:
            for claim in self._ledger.apply(record.offset, record.data):
                self._release_if_abandoned(claim)
        self._is_caught_up = self._ledger.offset + 1 >= batch.next
        self._recheck_blocked()
        self._progress.set()
        self._progress = asyncio.Event()

    def _release_if_abandoned(self, claim: Claim) -> None:
        """Release a claim that owns its key but was refused before it was read."""
        if claim.attempt in self._abandoned_attempts:
            self._abandoned_attempts.discard(claim.attempt)
            release = Release(claim.key, claim.attempt)
            self._pending_closes.append(_PendingClose(release, _do_nothing))
            self._has_work.set()

    # -- writing -------------------------------------------------------------

    async def _write(self) -> None:
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            await asyncio.sleep(defaults.CLAIM_BATCH_WINDOW_MS / 1000)
            while self.has_unwritten_entries:
                await self._write_batch()

    async def _write_batch(self) -> None:
        claims, self._pending_claims = self._pending_claims, []
        closes, self._pending_closes = self._pending_closes, []
        new_claims = [
            pending for pending in claims if not self._answer_from_ledger(pending)
        ]
        entries = [pending.claim for pending in new_claims] + [c.entry for c in closes]
        if not entries:
            return
        try:
            offset = await self._node.log.append(self._stream, encode_items(entries))
        except LogUnavailableError as error:
            self._node.report_log_status(True, "claims", str(error))
            self._pending_closes = closes + self._pending_closes
            self._retry_or_refuse(new_claims)
            await asyncio.sleep(defaults.LOG_RETRY_MS / 1000)
            return
        for item in closes:
            item.on_appended()
        if new_claims:
            self._node.run_task(
                self._answer_after_read(new_claims, offset), "claims-settle"
            )

    def _answer_from_ledger(self, pending: _PendingClaim) -> bool:
        """Answer a claim without an append if the ledger contains an owner of its key.

        :return: whether the claim was answered or blocked.
        """
        if not self._is_caught_up:
            return False
        result = self._ledger.resolve(pending.claim)
        if result is None:
            return False
        if result.state == GRANTED and not self._ledger.is_complete:
            return False
        self._answer_or_block(pending, result)
        return True

    def _retry_or_refuse(self, claims: list[_PendingClaim]) -> None:
        """Queue claims again after a failed append; refuse those past their timeout.

        Appending a claim twice is safe: if the first append took effect, its attempt
        owns the key either way.
        """
        now_ms = self._node.clock.now_ms()
        for pending in claims:
            if now_ms < pending.until_ms:
                self._pending_claims.append(pending)
            else:
                self._refuse(pending, UNAVAILABLE)

    async def _answer_after_read(
        self, claims: list[_PendingClaim], offset: int
    ) -> None:
        """Answer claims after the stream was read up to their offset.

        At their timeout, claims that were not read back are refused.
        """
        until_ms = max(pending.until_ms for pending in claims)
        while self._ledger.offset < offset:
            left_ms = until_ms - self._node.clock.now_ms()
            if left_ms <= 0:
                break
            progress = self._progress
            try:
                await asyncio.wait_for(progress.wait(), left_ms / 1000)
            except TimeoutError:
                break
        for pending in claims:
            self._answer_from_log(pending, offset)

    def _answer_from_log(self, pending: _PendingClaim, offset: int) -> None:
        if self._ledger.offset < offset:
            self._refuse(pending, UNAVAILABLE)
            return
        result = self._ledger.resolve(pending.claim)
        if result is None:
            self._refuse(pending, UNAVAILABLE)
        elif not self._ledger.is_complete and result.state != FINISHED:
            self._refuse(pending, INCOMPLETE)
        else:
            self._answer_or_block(pending, result)

    def _answer_or_block(self, pending: _PendingClaim, result: ClaimResult) -> None:
        """Answer a claim, or block it while the owner of its key is running.

        A blocked claim is answered at the latest when its timeout passes.
        """
        is_early = self._node.clock.now_ms() < pending.until_ms
        if result.state == RUNNING and is_early:
            self._blocked_claims.append(pending)
        else:
            self._answer(pending, result)

    def _recheck_blocked(self) -> None:
        blocked, self._blocked_claims = self._blocked_claims, []
        for pending in blocked:
            result = self._ledger.resolve(pending.claim)
            if result is None:
                # The owner released the key, so the blocked claim is appended.
                self._pending_claims.append(pending)
                self._has_work.set()
            else:
                self._answer_or_block(pending, result)

    def _refuse(self, pending: _PendingClaim, verdict: str) -> None:
        """Refuse a claim, and release it if it owns its key now or later."""
        claim = pending.claim
        entry = self._ledger.find(claim.key)
        if entry is not None and entry.attempt == claim.attempt:
            self._pending_closes.append(
                _PendingClose(Release(claim.key, claim.attempt), _do_nothing)
            )
            self._has_work.set()
        else:
            self._abandoned_attempts.add(claim.attempt)
        pending.on_answer(ClaimResponse(claim.key, claim.attempt, verdict))

    def _answer(self, pending: _PendingClaim, result: ClaimResult) -> None:
        claim = pending.claim
        entry = result.entry
        response = ClaimResponse(
            claim.key, claim.attempt, result.state, entry.offset, entry.attempt
        )
        outcome = entry.outcome
        if result.state == FINISHED and outcome is not None:
            response = attrs.evolve(
                response,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
                has_body=outcome.has_body,
            )
        pending.on_answer(response)

    async def _compact(self) -> None:
        parts = self._ledger.compaction_records(new_id("carry"))
        try:
            for part in parts:
                await self._node.log.append(self._stream, encode_items([part]))
        except LogUnavailableError as error:
            self._node.report_log_status(True, "claims", str(error))
            return
        self._node.events.add(
            "claims.carried", stream=self._stream, keys=len(self._ledger)
        )


def _do_nothing() -> None:
    """Do nothing; the callback for releases that no caller waits for."""
