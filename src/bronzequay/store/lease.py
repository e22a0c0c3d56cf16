"""Holder of a key under a lease of the store."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.store import client

if TYPE_CHECKING:
    from bronzequay import ids

MIN_TTL_S = 1.0
RENEWALS_PER_TTL = 3
SAFETY_MARGIN_RATIO = 0.1
RETRY_DELAY_S = 0.5
REVOKE_TIMEOUT_S = 2.0


class LeaseHolder:
    """Acquires a key and holds it as long as its lease is renewed in time.

    The lease is trusted for ``ttl_s`` less a safety margin, on the runtime's clock, from
    the moment before the last successful renewal was sent. ``is_held`` turns False without
    any task running, so that an instance that was frozen detects the loss of its lease
    before it does anything else.

    :param store: the store that grants the lease
    :param key: the key to hold
    :param value: the key's value, which identifies the holder
    :param ttl_s: seconds without a renewal after which the lease expires, at least 1
    """

    def __init__(self, store: client.Store, *, key: str, value: bytes, ttl_s: float) -> None:
        if ttl_s < MIN_TTL_S:
            raise ValueError(f"ttl_s must be at least {MIN_TTL_S}")
        self._store = store
        self._key = key
        self._value = value
        self._ttl_s = ttl_s
        self._trust_period_s = ttl_s * (1.0 - SAFETY_MARGIN_RATIO)
        self._held_until_s = -math.inf
        self._lease: ids.LeaseId | None = None
        self._is_handed_over = False
        self._acquired = trio.Event()
        self._lost = trio.Event()
        self.rev: ids.Revision = client.ABSENT

    def is_held(self) -> bool:
        """Return whether this instance may act as the key's holder now."""
        return trio.current_time() < self._held_until_s

    @property
    def held_until_s(self) -> float:
        """Return the time until which the lease is trusted, on the runtime's clock."""
        return self._held_until_s

    async def wait_until_held(self) -> None:
        """Wait until the key is held."""
        while not self.is_held():
            await self._acquired.wait()
            if not self.is_held():
                await trio.sleep(RETRY_DELAY_S)

    async def wait_until_lost(self) -> None:
        """Wait until the key is no longer held."""
        while self.is_held():
            with trio.move_on_at(self._held_until_s):
                await self._lost.wait()

    async def run(self) -> None:
        """Acquire and hold the key, again after each loss, until cancelled or handed over."""
        while not self._is_handed_over:
            if await self._acquire():
                await self._renew_until_lost()
                self._clear_lease()
            # Jitter: instances that lost the same race should not retry at the same time.
            await trio.sleep(RETRY_DELAY_S * (0.5 + random.random() / 2))  # noqa: S311  # jitter

    async def hand_over(self) -> None:
        """Release the key permanently, so that another instance can acquire it immediately."""
        self._is_handed_over = True
        lease = self._lease
        self._clear_lease()
        if lease is not None:
            await self._revoke(lease)

    def _clear_lease(self) -> None:
        self._held_until_s = -math.inf
        self._lease = None
        self._acquired = trio.Event()
        self._lost.set()

    async def _acquire(self) -> bool:
        try:
            entry = await self._store.get(self._key, purpose=client.Purpose.LEASE)
            if entry is not None:
                return False
            return await self._claim_key()
        except errors.BronzequayError:
            return False

    async def _claim_key(self) -> bool:
        sent_s = trio.current_time()
        lease = await self._store.grant(self._ttl_s)
        try:
            rev = await self._store.put(
                self._key,
                self._value,
                rev=client.ABSENT,
                purpose=client.Purpose.LEASE,
                lease=lease,
            )
        except errors.BronzequayError:
            # The claim's outcome may be unknown; revoking the lease deletes its key.
            await self._revoke(lease)
            return False
        if self._is_handed_over:
            await self._revoke(lease)
            return False
        self.rev = rev
        self._lease = lease
        self._held_until_s = sent_s + self._trust_period_s
        self._lost = trio.Event()
        self._acquired.set()
        return True

    async def _renew_until_lost(self) -> None:
        """Renew until the lease is lost, handed over or no longer trusted.

        A renewal does not wait for the previous one, so that neither a slow answer nor a
        silent connection uses up the lease time.
        """
        period_s = self._ttl_s / RENEWALS_PER_TTL
        async with trio.open_nursery() as nursery:
            while self._lease is not None and self.is_held():
                await trio.sleep(min(period_s, self._held_until_s - trio.current_time()))
                if self._lease is not None and self.is_held():
                    nursery.start_soon(self._renew, self._lease)
            nursery.cancel_scope.cancel()

    async def _renew(self, lease: ids.LeaseId) -> None:
        sent_s = trio.current_time()
        try:
            await self._store.renew(lease, extra_timeout_s=self._ttl_s)
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.LEASE_LOST and self._lease == lease:
                self._clear_lease()
            return
        # A lease whose loss has been reported is not trusted again, even if a renewal succeeds.
        if self._lease == lease and self.is_held():
            self._held_until_s = max(self._held_until_s, sent_s + self._trust_period_s)

    async def _revoke(self, lease: ids.LeaseId) -> None:
        with trio.move_on_after(REVOKE_TIMEOUT_S):
            try:
                await self._store.revoke(lease)
            except errors.BronzequayError:
                return


__all__ = ["MIN_TTL_S", "RETRY_DELAY_S", "LeaseHolder"]
