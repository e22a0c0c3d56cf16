"""Holding a key under a lease of the store."""

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
MARGIN_SHARE = 0.1
RETRY_S = 0.5
HAND_OVER_S = 2.0


class LeaseHolder:
    """Acquires a key and keeps it as long as its lease is renewed in time.

    The lease is trusted up to ``ttl_s`` less a margin after the last renewal that
    succeeded, counted from before that renewal was sent, on the runtime's clock. Nothing
    has to run for ``is_held`` to turn False, so that an instance that comes back from a
    freeze finds its lease gone before it does anything else.

    :param store: the store that gives the lease
    :param key: the key to hold
    :param value: the key's value, which names the holder
    :param ttl_s: seconds after which the store gives the key away, at least 1
    """

    def __init__(self, store: client.Store, *, key: str, value: bytes, ttl_s: float) -> None:
        if ttl_s < MIN_TTL_S:
            raise ValueError(f"ttl_s must be at least {MIN_TTL_S}")
        self._store = store
        self._key = key
        self._value = value
        self._ttl_s = ttl_s
        self._trusted_s = ttl_s * (1.0 - MARGIN_SHARE)
        self._until_s = -math.inf
        self._lease: ids.LeaseId | None = None
        self._is_handed_over = False
        self._acquired = trio.Event()
        self._lost = trio.Event()
        self.rev: ids.Revision = client.ABSENT

    def is_held(self) -> bool:
        """Tell whether this instance may act as the key's holder now."""
        return trio.current_time() < self._until_s

    @property
    def held_until_s(self) -> float:
        """Return the time up to which the lease is trusted, on the runtime's clock."""
        return self._until_s

    async def wait_held(self) -> None:
        """Wait until the key is held."""
        while not self.is_held():
            await self._acquired.wait()
            if not self.is_held():
                await trio.sleep(RETRY_S)

    async def wait_lost(self) -> None:
        """Wait until the key is no longer held."""
        while self.is_held():
            with trio.move_on_at(self._until_s):
                await self._lost.wait()

    async def run(self) -> None:
        """Acquire and keep the key, again after each loss, until cancelled or handed over."""
        while not self._is_handed_over:
            if await self._acquire():
                await self._keep()
                self._drop()
            # Instances that lost the same race should not meet again.
            await trio.sleep(RETRY_S * (0.5 + random.random() / 2))  # noqa: S311  # jitter

    async def hand_over(self) -> None:
        """Give the key up for good, so that another instance may acquire it at once."""
        self._is_handed_over = True
        lease = self._lease
        self._drop()
        if lease is not None:
            await self._revoke(lease)

    def _drop(self) -> None:
        self._until_s = -math.inf
        self._lease = None
        self._acquired = trio.Event()
        self._lost.set()

    async def _acquire(self) -> bool:
        try:
            present = await self._store.get(self._key, purpose=client.Purpose.LEASE)
            if present is not None:
                return False
            return await self._claim()
        except errors.BronzequayError:
            return False

    async def _claim(self) -> bool:
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
            # A claim whose outcome is unknown ends with its lease.
            await self._revoke(lease)
            return False
        if self._is_handed_over:
            await self._revoke(lease)
            return False
        self.rev = rev
        self._lease = lease
        self._until_s = sent_s + self._trusted_s
        self._lost = trio.Event()
        self._acquired.set()
        return True

    async def _keep(self) -> None:
        """Renew until the lease is lost, handed over or no longer trusted.

        A renewal does not wait for the one before it: neither a slow answer nor a silent
        connection may use up the time of the lease.
        """
        period_s = self._ttl_s / RENEWALS_PER_TTL
        async with trio.open_nursery() as nursery:
            while self._lease is not None and self.is_held():
                await trio.sleep(min(period_s, self._until_s - trio.current_time()))
                if self._lease is not None and self.is_held():
                    nursery.start_soon(self._renew, self._lease)
            nursery.cancel_scope.cancel()

    async def _renew(self, lease: ids.LeaseId) -> None:
        sent_s = trio.current_time()
        try:
            await self._store.renew(lease, patience_s=self._ttl_s)
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.LEASE_LOST and self._lease == lease:
                self._drop()
            return
        # A lease that was distrusted meanwhile is not trusted again: its loss was told.
        if self._lease == lease and self.is_held():
            self._until_s = max(self._until_s, sent_s + self._trusted_s)

    async def _revoke(self, lease: ids.LeaseId) -> None:
        with trio.move_on_after(HAND_OVER_S):
            try:
                await self._store.revoke(lease)
            except errors.BronzequayError:
                return


__all__ = ["MIN_TTL_S", "RETRY_S", "LeaseHolder"]
