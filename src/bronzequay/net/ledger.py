"""Accounts of what the connections of a listener hold, and who gives way when it is too much."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import trio

from bronzequay.net import limits

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

RECHECK_S = 0.25
"""Interval at which the first in a queue looks for others who hold their room for too long."""
_EVICTION_ORDER = (
    frozenset({limits.Phase.CLOSING}),
    frozenset({limits.Phase.IDLE}),
    frozenset({limits.Phase.RECEIVING, limits.Phase.SENDING}),
)
"""Connections that give way to new ones. A request that is complete or is handled never does."""


class _Queue:
    """Waiters of whom only the first looks for room."""

    def __init__(self) -> None:
        self._waiters: collections.deque[trio.Event] = collections.deque()

    def __bool__(self) -> bool:
        return bool(self._waiters)

    def wake(self) -> None:
        """Let the first waiter look again."""
        if self._waiters:
            self._waiters[0].set()

    async def wait(self, has_room: Callable[[], bool], timeout_s: float) -> bool:
        """Wait in the queue until there is room; return false after the timeout."""
        turn = trio.Event()
        self._waiters.append(turn)
        try:
            with trio.move_on_after(timeout_s):
                if self._waiters[0] is not turn:
                    await turn.wait()
                while not has_room():
                    turn = self._waiters[0] = trio.Event()
                    with trio.move_on_after(RECHECK_S):
                        await turn.wait()
                return True
            return False
        finally:
            self._waiters.remove(turn)
            self.wake()


class Ledger:
    """Accounts of all connections of a listener.

    :param read_limits: returns the limits now in force
    :ivar held_bytes: held by requests that arrive
    :ivar reserved_bytes: the part of it that is held or reserved by large requests
    :ivar handling_bytes: held by requests that are handled, and by responses
    :ivar handled: number of requests that are handled
    """

    def __init__(self, read_limits: Callable[[], limits.Limits]) -> None:
        self._read_limits = read_limits
        self._accounts: set[limits.Account] = set()
        self._peers: collections.Counter[str] = collections.Counter()
        self._uploads = _Queue()
        self._requests = _Queue()
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.handling_bytes = 0
        self.handled = 0

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._accounts)

    def open(self, peer: str) -> limits.Account:
        """Return the account of a new connection, for which others may have to give way.

        :raises limits.Refusal: when there is no room for it
        """
        bounds = self._read_limits()
        if self._peers[peer] >= bounds.max_peer_connections:
            self._evict_connection(a for a in self._accounts if a.peer == peer)
        elif len(self._accounts) >= bounds.max_connections:
            self._evict_connection(self._accounts)
        account = limits.Account(peer)
        self._accounts.add(account)
        self._peers[peer] += 1
        return account

    def close(self, account: limits.Account) -> None:
        """Release everything that a connection holds; does nothing the second time."""
        self._release(account)
        if account in self._accounts:
            self._accounts.remove(account)
            self._peers[account.peer] -= 1
            if not self._peers[account.peer]:
                del self._peers[account.peer]

    def evict_idle(self) -> None:
        """Close the connection that has been idle for the longest, if one is idle."""
        idle = [a for a in self._accounts if a.phase is limits.Phase.IDLE]
        if idle:
            self._evict_connection(idle)

    def refuse(self, account: limits.Account) -> None:
        """Release what a refused request holds; its connection gives way before all others."""
        self._release(account)
        account.enter(limits.Phase.CLOSING)
        account.scope = trio.CancelScope()

    def hold(self, account: limits.Account, held_bytes: int) -> None:
        """Charge a request that arrives; the largest and oldest holders may have to give way.

        :param held_bytes: all that it holds now, Python's objects included
        :raises limits.Refusal: when this one has to give way
        """
        account.check()
        account.received_bytes = held_bytes
        self._charge(account, max(held_bytes, account.reserved_bytes))
        budget = self._arriving_budget() - self._large_budget()
        while self.held_bytes - self.reserved_bytes > budget:
            members = (a for a in self._accounts if a.phase is limits.Phase.RECEIVING)
            victim = max(
                (a for a in members if not a.reserved_bytes),
                key=lambda a: (a.held_bytes, -a.since_s),
                default=account,
            )
            self._evict(victim, limits.Refusal(503, "held_bytes"))
            account.check()

    async def reserve(self, account: limits.Account, total_bytes: int, timeout_s: float) -> None:
        """Wait until a large request fits, before more of it is read.

        Requests that have reserved memory and hardly arrive give way to those that wait. A request
        that turns out larger than it has reserved reserves again.

        :param total_bytes: all that it will hold
        :raises limits.Refusal: when this one has to give way or had to wait for too long
        """
        budget = self._large_budget()
        reserved_bytes = min(total_bytes, budget)  # one that is larger is admitted alone

        def has_room() -> bool:
            own_bytes = account.held_bytes if account.reserved_bytes else 0
            self._evict_slow(budget - reserved_bytes + own_bytes)
            return self.reserved_bytes - own_bytes + reserved_bytes <= budget

        is_first = not self._uploads and has_room()
        if not is_first and not await self._uploads.wait(has_room, timeout_s):
            raise limits.Refusal(503, "held_bytes")
        account.check()
        self._charge(account, 0)
        account.reserved_bytes = reserved_bytes
        account.reserved_s = trio.current_time()
        self._charge(account, max(reserved_bytes, account.received_bytes))

    async def admit(self, account: limits.Account, cost_bytes: int, left_bytes: int) -> None:
        """Wait until a complete request may be handled, first come, first served.

        :param cost_bytes: estimated memory of handling it
        :param left_bytes: held by what has arrived after it
        :raises limits.Refusal: when it had to wait for too long
        """
        account.check()
        account.phase = limits.Phase.WAITING
        cost_bytes = min(cost_bytes, self._read_limits().max_held_bytes // 2)

        def has_room() -> bool:
            return self._can_handle(cost_bytes)

        is_first = not self._requests and has_room()
        if not is_first and not await self._requests.wait(has_room, limits.ADMISSION_TIMEOUT_S):
            raise limits.Refusal(503, "handling")
        self._charge(account, 0)
        account.reserved_bytes = 0
        self._charge(account, left_bytes)
        account.handling_bytes = cost_bytes
        self.handling_bytes += cost_bytes
        self.handled += 1
        account.phase = limits.Phase.HANDLING

    def respond(self, account: limits.Account, response_bytes: int) -> None:
        """Charge the response in place of the handling."""
        self.handled -= 1
        self.handling_bytes += response_bytes - account.handling_bytes
        account.handling_bytes = response_bytes
        account.enter(limits.Phase.SENDING)
        self._requests.wake()

    def finish(self, account: limits.Account) -> None:
        """End the charge of a response that has been sent."""
        self.handling_bytes -= account.handling_bytes
        account.handling_bytes = 0
        account.enter(limits.Phase.IDLE)
        self._requests.wake()

    def _arriving_budget(self) -> int:
        return self._read_limits().max_held_bytes // 2

    def _large_budget(self) -> int:
        return int(self._arriving_budget() * limits.LARGE_SHARE)

    def _charge(self, account: limits.Account, held_bytes: int) -> None:
        change = held_bytes - account.held_bytes
        self.held_bytes += change
        account.held_bytes = held_bytes
        if account.reserved_bytes:
            self.reserved_bytes += change
            if change < 0:
                self._uploads.wake()

    def _can_handle(self, cost_bytes: int) -> bool:
        bounds = self._read_limits()
        budget = bounds.max_held_bytes // 2
        if self.handling_bytes + cost_bytes > budget:
            self._drop_unread_responses(budget - cost_bytes)
        return self.handled < bounds.max_handled and self.handling_bytes + cost_bytes <= budget

    def _drop_unread_responses(self, budget: int) -> None:
        """Close the connections with the largest unread responses while the budget is exceeded."""
        sent_before_s = trio.current_time() - limits.UNREAD_GRACE_S
        unread = [
            a
            for a in self._accounts
            if a.phase is limits.Phase.SENDING and a.since_s <= sent_before_s
        ]
        unread.sort(key=lambda a: (a.handling_bytes, -a.since_s))
        while unread and self.handling_bytes > budget:
            self._evict(unread.pop(), limits.Refusal(503, "unread_response"))

    def _evict_slow(self, budget: int) -> None:
        """Refuse the largest and oldest reserved requests that hardly arrive, over the budget."""
        if self.reserved_bytes <= budget:
            return
        now_s = trio.current_time()
        slow = [a for a in self._accounts if a.is_slow(now_s)]
        slow.sort(key=lambda a: (a.held_bytes, -a.since_s))
        while slow and self.reserved_bytes > budget:
            self._evict(slow.pop(), limits.Refusal(503, "held_bytes"))

    def _evict_connection(self, accounts: Iterable[limits.Account]) -> None:
        candidates = list(accounts)
        for phases in _EVICTION_ORDER:
            members = [a for a in candidates if a.phase in phases]
            if members:
                victim = min(members, key=lambda a: a.since_s)
                self._evict(victim, limits.Refusal(503, "connections"))
                self.close(victim)
                return
        raise limits.Refusal(503, "connections")

    def _evict(self, account: limits.Account, refusal: limits.Refusal) -> None:
        account.refusal = refusal
        self._release(account)  # its task frees the buffers when it runs next
        account.scope.cancel()
        account.enter(limits.Phase.CLOSING)

    def _release(self, account: limits.Account) -> None:
        self._charge(account, 0)
        account.reserved_bytes = 0
        self.handling_bytes -= account.handling_bytes
        account.handling_bytes = 0
        if account.phase is limits.Phase.HANDLING:
            self.handled -= 1
            account.enter(limits.Phase.CLOSING)
        self._requests.wake()


__all__ = ["Ledger"]
