"""Get the right to run a non-idempotent request, and record its end."""

import asyncio
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.claims import GRANTED
from snipedeal.claims import partition_of
from snipedeal.membership import ROUTER
from snipedeal.messages import ClaimAnswer
from snipedeal.messages import ClaimAsk
from snipedeal.messages import ClaimClose
from snipedeal.messages import ClaimClosed
from snipedeal.plugins import register_plugin
from snipedeal.utils import rank_by_rendezvous
from snipedeal_router.claimhome import UNAVAILABLE
from snipedeal_router.claimhome import Partition

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@attrs.define(eq=False)
class _OpenClose:
    """An end of a claim that the home has not confirmed."""

    message: ClaimClose
    sent_ms: int = 0


@register_plugin(ROUTER, "claims")
class Claims:
    """Ask homes of keys, and be the home of some.

    :param router: the router that this is a part of.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._count = router.settings.claim_partitions
        self._partitions: dict[int, Partition] = {}
        self._asked: dict[str, asyncio.Future[ClaimAnswer]] = {}
        self._closes: dict[str, _OpenClose] = {}

    @property
    def has_open_closes(self) -> bool:
        """Whether ends of claims wait to be recorded."""
        return bool(self._closes) or any(p.is_busy for p in self._partitions.values())

    def start(self) -> None:
        """Take messages from other routers and follow the own partitions."""
        node = self._node
        node.handle(ClaimAsk, self._on_ask)
        node.handle(ClaimAnswer, self._on_answer)
        node.handle(ClaimClose, self._on_close)
        node.handle(ClaimClosed, self._on_closed)
        node.status_parts["claims"] = self._status
        node.run_loop(self._run_ticks, "claim-ticks")

    async def close(self) -> None:
        """Stop following."""
        for partition in self._partitions.values():
            partition.close()

    async def ask(self, key: str, attempt: str, fingerprint: str) -> ClaimAnswer:
        """Return whether an attempt may run.

        :param key: hash of the idempotency key.
        :param attempt: identifier of the request.
        :return: an answer; ``unavailable`` where none came in time, after
            which a late grant is given back.
        """
        message = ClaimAsk(key, attempt, fingerprint)
        future = asyncio.get_running_loop().create_future()
        self._asked[attempt] = future
        self._send_ask(message)
        limit_s = (defaults.CLAIM_TIMEOUT_MS + 2 * defaults.CLAIM_TICK_MS) / 1000
        try:
            return await asyncio.wait_for(future, limit_s)
        except TimeoutError:
            return ClaimAnswer(key, attempt, UNAVAILABLE)
        finally:
            self._asked.pop(attempt, None)

    def end(self, message: ClaimClose) -> None:
        """Record the end of a claim, trying until it is in the log."""
        self._closes[message.attempt] = _OpenClose(message)
        self._send_close(self._closes[message.attempt])

    # -- asking side ---------------------------------------------------------

    def _send_ask(self, message: ClaimAsk) -> None:
        home = self._home(message.key)
        if home == self._node.name:
            self._own(message.key).ask(message, self._take_answer)
        else:
            self._node.send(home, message)
            self._node.transport.watch(home, True)

    def _send_close(self, item: _OpenClose) -> None:
        item.sent_ms = self._node.clock.now_ms()
        message = item.message
        home = self._home(message.key)
        if home == self._node.name:
            self._own(message.key).end(
                message, lambda: self._forget_close(message.attempt)
            )
        else:
            self._node.send(home, message)

    def _on_answer(self, peer: str, message: ClaimAnswer) -> None:
        self._take_answer(message)

    def _take_answer(self, message: ClaimAnswer) -> None:
        future = self._asked.get(message.attempt)
        if future is not None and not future.done():
            future.set_result(message)
        elif message.verdict == GRANTED:
            # the asker gave up; it has refused the request as not run.
            self.end(ClaimClose(message.key, message.attempt, is_released=True))

    def _on_closed(self, peer: str, message: ClaimClosed) -> None:
        self._forget_close(message.attempt)

    def _forget_close(self, attempt: str) -> None:
        self._closes.pop(attempt, None)

    # -- home side -----------------------------------------------------------

    def _on_ask(self, peer: str, message: ClaimAsk) -> None:
        self._own(message.key).ask(
            message, lambda answer: self._send_answer(peer, answer)
        )

    def _send_answer(self, peer: str, answer: ClaimAnswer) -> None:
        self._node.send(peer, answer)

    def _on_close(self, peer: str, message: ClaimClose) -> None:
        self._own(message.key).end(
            message, lambda: self._confirm(peer, message.attempt)
        )

    def _confirm(self, peer: str, attempt: str) -> None:
        self._node.send(peer, ClaimClosed(attempt))

    def _own(self, key: str) -> Partition:
        return self._partition(partition_of(key, self._count))

    def _partition(self, number: int) -> Partition:
        partition = self._partitions.get(number)
        if partition is None:
            partition = Partition(self._node, number)
            self._partitions[number] = partition
        return partition

    def _home(self, key: str) -> str:
        return self._homes(partition_of(key, self._count))[0]

    def _homes(self, number: int) -> list[str]:
        """Return the routers in the order in which they serve a partition."""
        node = self._node
        names = {vm.name for vm in node.membership.routers()} | {node.name}
        heard = [name for name in names if not node.transport.is_lost(name)]
        return rank_by_rendezvous(f"claims/{number}", heard)

    # -- time ----------------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            now_ms = self._node.clock.now_ms()
            for number in range(self._count):
                if self._homes(number)[0] == self._node.name:
                    self._partition(number)
            for partition in self._partitions.values():
                partition.tick(now_ms)
            for item in list(self._closes.values()):
                if now_ms - item.sent_ms >= defaults.CLAIM_CLOSE_RETRY_MS:
                    self._send_close(item)
            await asyncio.sleep(defaults.CLAIM_TICK_MS / 1000)

    def _status(self) -> dict[str, t.Any]:
        return {
            "partitions": {
                str(number): {
                    "offset": partition.ledger.offset,
                    "complete": partition.ledger.is_complete,
                    "keys": len(partition.ledger),
                }
                for number, partition in self._partitions.items()
            },
            "open_closes": len(self._closes),
        }
