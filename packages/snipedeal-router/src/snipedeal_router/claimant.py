"""Claim idempotency keys for non-idempotent requests, and record how claims end.

The keys are divided into partitions by hash. The first reachable router in rendezvous
order owns a partition and answers the claims of its keys.
"""

import asyncio
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.claims import GRANTED
from snipedeal.claims import partition_of
from snipedeal.membership import ROUTER
from snipedeal.messages import ClaimClose
from snipedeal.messages import ClaimClosed
from snipedeal.messages import ClaimRequest
from snipedeal.messages import ClaimResponse
from snipedeal.plugins import register_plugin
from snipedeal.utils import rank_by_rendezvous
from snipedeal_router.claimhome import UNAVAILABLE
from snipedeal_router.claimhome import Partition

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@attrs.define(eq=False)
class _UnconfirmedClose:
    """The end of a claim that the partition owner has not confirmed.

    :param sent_ms: monotonic time at which it was last sent.
    """

    message: ClaimClose
    sent_ms: int = 0


@register_plugin(ROUTER, "claims")
class Claims:
    """Send claims to partition owners, and serve the partitions owned here.

    :param router: the router that owns this plug-in.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._partition_count = router.settings.claim_partitions
        self._partitions: dict[int, Partition] = {}
        self._pending_claims: dict[str, asyncio.Future[ClaimResponse]] = {}
        self._unconfirmed_closes: dict[str, _UnconfirmedClose] = {}

    @property
    def has_unconfirmed_closes(self) -> bool:
        """Whether the end of a claim is unconfirmed or entries wait to be appended."""
        return bool(self._unconfirmed_closes) or any(
            p.has_unwritten_entries for p in self._partitions.values()
        )

    def start(self) -> None:
        """Register the message handlers and start the periodic work."""
        node = self._node
        node.handle(ClaimRequest, self._on_claim_request)
        node.handle(ClaimResponse, self._on_claim_response)
        node.handle(ClaimClose, self._on_claim_close)
        node.handle(ClaimClosed, self._on_claim_closed)
        node.status_parts["claims"] = self._status
        node.run_loop(self._run_ticks, "claim-ticks")

    async def close(self) -> None:
        """Stop reading and writing all partitions."""
        for partition in self._partitions.values():
            partition.close()

    async def acquire(
        self, key: str, request_id: str, fingerprint: str
    ) -> ClaimResponse:
        """Claim a key for a request and return the result.

        :param key: hash of customer, service and idempotency key.
        :param request_id: identifier of the request, the ``attempt`` of its claim.
        :param fingerprint: hash of the request's content.
        :return: the response, with the verdict ``unavailable`` after a timeout; a
            claim that is granted later is released.
        """
        message = ClaimRequest(key, request_id, fingerprint)
        future = asyncio.get_running_loop().create_future()
        self._pending_claims[request_id] = future
        self._send_claim_request(message)
        limit_s = (defaults.CLAIM_TIMEOUT_MS + 2 * defaults.CLAIM_TICK_MS) / 1000
        try:
            return await asyncio.wait_for(future, limit_s)
        except TimeoutError:
            return ClaimResponse(key, request_id, UNAVAILABLE)
        finally:
            self._pending_claims.pop(request_id, None)

    def record_end(self, message: ClaimClose) -> None:
        """Record the end of a claim; retry until the partition owner confirms it."""
        self._unconfirmed_closes[message.attempt] = _UnconfirmedClose(message)
        self._send_close(self._unconfirmed_closes[message.attempt])

    # -- requesting side -----------------------------------------------------

    def _send_claim_request(self, message: ClaimRequest) -> None:
        owner = self._partition_owner(message.key)
        if owner == self._node.name:
            self._partition_for_key(message.key).enqueue_claim(
                message, self._accept_response
            )
        else:
            self._node.send(owner, message)
            self._node.transport.set_heartbeats(owner, True)

    def _send_close(self, item: _UnconfirmedClose) -> None:
        item.sent_ms = self._node.clock.now_ms()
        message = item.message
        owner = self._partition_owner(message.key)
        if owner == self._node.name:
            self._partition_for_key(message.key).enqueue_close(
                message, lambda: self._remove_close(message.attempt)
            )
        else:
            self._node.send(owner, message)

    def _on_claim_response(self, peer: str, message: ClaimResponse) -> None:
        self._accept_response(message)

    def _accept_response(self, message: ClaimResponse) -> None:
        future = self._pending_claims.get(message.attempt)
        if future is not None and not future.done():
            future.set_result(message)
        elif message.verdict == GRANTED:
            # acquire() timed out, so the request was refused as not run.
            self.record_end(ClaimClose(message.key, message.attempt, is_released=True))

    def _on_claim_closed(self, peer: str, message: ClaimClosed) -> None:
        self._remove_close(message.attempt)

    def _remove_close(self, attempt: str) -> None:
        self._unconfirmed_closes.pop(attempt, None)

    # -- partition owner side ------------------------------------------------

    def _on_claim_request(self, peer: str, message: ClaimRequest) -> None:
        self._partition_for_key(message.key).enqueue_claim(
            message, lambda response: self._send_response(peer, response)
        )

    def _send_response(self, peer: str, response: ClaimResponse) -> None:
        self._node.send(peer, response)

    def _on_claim_close(self, peer: str, message: ClaimClose) -> None:
        self._partition_for_key(message.key).enqueue_close(
            message, lambda: self._send_closed(peer, message.attempt)
        )

    def _send_closed(self, peer: str, attempt: str) -> None:
        self._node.send(peer, ClaimClosed(attempt))

    def _partition_for_key(self, key: str) -> Partition:
        return self._partition(partition_of(key, self._partition_count))

    def _partition(self, number: int) -> Partition:
        """Return a partition; the first call starts reading its stream."""
        partition = self._partitions.get(number)
        if partition is None:
            partition = Partition(self._node, number)
            self._partitions[number] = partition
        return partition

    def _partition_owner(self, key: str) -> str:
        return self._ranked_routers(partition_of(key, self._partition_count))[0]

    def _ranked_routers(self, number: int) -> list[str]:
        """Return the reachable routers, the owner of a partition first."""
        node = self._node
        names = {vm.name for vm in node.membership.routers()} | {node.name}
        reachable = [name for name in names if not node.transport.is_lost(name)]
        return rank_by_rendezvous(f"claims/{number}", reachable)

    # -- periodic work -------------------------------------------------------

    async def _run_ticks(self) -> None:
        while True:
            now_ms = self._node.clock.now_ms()
            for number in range(self._partition_count):
                if self._ranked_routers(number)[0] == self._node.name:
                    self._partition(number)
            for partition in self._partitions.values():
                partition.tick(now_ms)
            for item in list(self._unconfirmed_closes.values()):
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
            "open_closes": len(self._unconfirmed_closes),
        }
