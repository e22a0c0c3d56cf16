"""Group commit: concurrent updates of a key share one compare-and-swap write."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

    Change = Callable[[bytes | None], bytes]

PERIOD_S = 0.005
RETRY_DELAY_S = 0.02
MAX_CONFLICTS = 50


class OnConflict(enum.Enum):
    """Reaction to a write of the key by another instance.

    ``REAPPLY``: read the key and apply the updates again. ``FENCED``: refuse all updates.
    """

    REAPPLY = enum.auto()
    FENCED = enum.auto()


class _Update:
    """A submitted change and its result."""

    def __init__(self, change: Change, purpose: client.Purpose) -> None:
        self.change = change
        self.purpose = purpose
        self.done = trio.Event()
        self.rev: ids.Revision | None = None
        self.error: Exception | None = None

    def succeed(self, rev: ids.Revision) -> None:
        """Return the write's revision to the submitter."""
        self.rev = rev
        self.done.set()

    def fail(self, error: Exception) -> None:
        """Return an error to the submitter, unless a result is already set."""
        if not self.done.is_set():
            self.error = error
            self.done.set()

    def result(self) -> ids.Revision:
        """Return the revision or raise the error."""
        if self.rev is None:
            assert self.error is not None  # noqa: S101  # called after done is set
            raise self.error
        return self.rev


class _KeyState:
    """Last known value of a key, and its updates."""

    def __init__(self) -> None:
        self.value: bytes | None = None
        self.rev: ids.Revision | None = None
        self.waiting: list[_Update] = []
        self.in_flight: list[_Update] = []
        self.is_fenced = False


class GroupCommit:
    """Collects updates of each key for a few milliseconds and writes them together.

    With ``FENCED``, a write by another instance ends this instance's right to write the
    key: the current and all later updates are refused. After an unknown outcome the key is
    read again, so a change of a fenced key must check the epoch in the value passed to it.

    :param store: the store to write to
    :param on_conflict: reaction to a write by another instance
    """

    def __init__(
        self, store: client.Store, *, on_conflict: OnConflict = OnConflict.REAPPLY
    ) -> None:
        self._store = store
        self._on_conflict = on_conflict
        self._keys: dict[str, _KeyState] = {}
        self._nursery: trio.Nursery | None = None
        self._started = trio.Event()
        self._is_stopped = False

    async def submit(self, key: str, change: Change, *, purpose: client.Purpose) -> ids.Revision:
        """Apply a change to a key's value.

        :param change: returns the new value for the current one, which is None if the key
            is absent; may be called several times; raises an error to refuse the update
        :return: the revision of the write that contains the change
        :raises BronzequayError: STORE_TIMEOUT: outcome unknown; FENCED and all others: not
            written
        """
        await self._started.wait()
        if self._is_stopped or self._nursery is None:
            raise _stopped_error()
        state = self._keys.setdefault(key, _KeyState())
        update = _Update(change, purpose)
        state.waiting.append(update)
        if len(state.waiting) == 1 and not state.in_flight:
            self._nursery.start_soon(self._run_key, key, state)
        try:
            await update.done.wait()
        finally:
            if update in state.waiting:
                state.waiting.remove(update)
        return update.result()

    async def run(self) -> None:
        """Write until cancelled, then refuse the updates that have not been written."""
        try:
            async with trio.open_nursery() as self._nursery:
                self._started.set()
                await trio.sleep_forever()
        finally:
            self._is_stopped = True
            for state in self._keys.values():
                _fail_all(state.in_flight, _unknown_outcome_error())
                _fail_all(state.waiting, _stopped_error())

    async def _run_key(self, key: str, state: _KeyState) -> None:
        """Write a key's updates until none is waiting."""
        while state.waiting:
            started_s = trio.current_time()
            await trio.sleep(PERIOD_S)
            state.in_flight, state.waiting = state.waiting, []
            try:
                await self._write(key, state)
            except errors.BronzequayError as exc:
                _fail_all(state.in_flight, exc)
            state.in_flight = []
            await trio.sleep_until(started_s + PERIOD_S)

    async def _write(self, key: str, state: _KeyState) -> None:
        for _ in range(MAX_CONFLICTS):
            if state.is_fenced:
                raise _fenced_error(key)
            try:
                await self._try_write(key, state)
            except errors.BronzequayError as exc:
                state.rev = None
                if exc.code is not codes.ResultCode.STORE_CONFLICT:
                    raise
                state.is_fenced = self._on_conflict is OnConflict.FENCED
            else:
                return
            if not state.is_fenced:
                await trio.sleep(RETRY_DELAY_S)
        raise errors.BronzequayError(
            codes.ResultCode.STORE_CONFLICT,
            f"another writer changed the key before each attempt: {key}",
        )

    async def _try_write(self, key: str, state: _KeyState) -> None:
        if not state.in_flight:
            return
        purpose = min(update.purpose for update in state.in_flight)
        if state.rev is None:
            entry = await self._store.get(key, purpose=purpose)
            state.value = None if entry is None else entry.value
            state.rev = client.ABSENT if entry is None else entry.rev
        value, applied = _apply(state.value, state.in_flight)
        if not applied:
            return
        assert value is not None  # noqa: S101  # an update was applied
        state.rev = await self._store.put(key, value, rev=state.rev, purpose=purpose)
        state.value = value
        for update in applied:
            update.succeed(state.rev)


def _apply(value: bytes | None, updates: list[_Update]) -> tuple[bytes | None, list[_Update]]:
    """Apply updates in order; a failed update is refused without affecting the others.

    :return: the new value and the updates that it contains
    """
    applied = []
    for update in updates:
        if update.done.is_set():
            continue
        try:
            new_value = update.change(value)
            _check_size(new_value)
        except Exception as exc:  # noqa: BLE001  # the submitter's own error goes back to it
            update.fail(exc)
            continue
        value = new_value
        applied.append(update)
    return value, applied


def _check_size(value: bytes) -> None:
    if len(value) > client.MAX_VALUE_BYTES:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_TOO_LARGE, "the update would make the value too large"
        )


def _fail_all(updates: list[_Update], error: errors.BronzequayError) -> None:
    """Fail each update with its own copy of an error, since raising it adds a traceback."""
    for update in updates:
        update.fail(errors.BronzequayError(error.code, error.message))


def _fenced_error(key: str) -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.FENCED, f"another instance has taken over: {key}"
    )


def _stopped_error() -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.SHUTTING_DOWN, "not written: the instance is shutting down"
    )


def _unknown_outcome_error() -> errors.BronzequayError:
    return errors.BronzequayError(
        codes.ResultCode.STORE_TIMEOUT, "stopped while writing, the outcome is unknown"
    )


__all__ = ["PERIOD_S", "GroupCommit", "OnConflict"]
