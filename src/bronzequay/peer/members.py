"""Which instances are live: from the platform's list, heartbeats and broken connections."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import math
import secrets
from typing import TYPE_CHECKING, Protocol

import msgspec
import trio

from bronzequay import errors, ids

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from bronzequay.store import entries

KIND = "beat"
BEAT_S = 1.0
MAX_BEATS_PER_S = 8.0
SILENCE_BEATS = 3.0
BEAT_TIMEOUT_S = 1.0
FORGET_S = 600.0
DIGEST_BYTES = 8


class State(enum.Enum):
    """State of a member as this instance sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class Beat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat, and its answer.

    :param start: random name of this run of the instance
    :param hears: whether the sender hears the receiver
    :param version: the highest bundle version at the sender
    :param digest: of the addresses that the sender knows
    :param peers: those addresses, when the digests differ
    """

    instance: ids.InstanceId
    start: str
    address: str
    data_centre: ids.DataCentreId
    is_leaving: bool
    hears: bool
    version: int
    digest: bytes
    peers: tuple[str, ...] = ()


class Caller(Protocol):
    """What members need of the mesh."""

    @property
    def address(self) -> str:
        """Return the address at which this instance receives."""

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Answer calls of a kind."""

    def on_silence(self, listener: Callable[[str], None]) -> None:
        """Tell of broken and silent connections."""

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer."""


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of another instance, by its mesh address.

    :param heard_s: when it was last heard, on the runtime's clock
    :param has_failed: whether its connection broke after it was last heard
    :param hears_us: its own word on whether it hears this instance
    :param is_listed: whether the list showed it last; None before it ever did
    """

    address: str
    heard_s: float
    due_s: float
    instance: ids.InstanceId | None = None
    start: str = ""
    data_centre: ids.DataCentreId | None = None
    version: int = 0
    is_leaving: bool = False
    hears_us: bool = True
    is_listed: bool | None = None
    has_failed: bool = False


class Members:
    """This instance's view of the others; the first source to tell of a change wins.

    Each pair of instances exchanges one heartbeat a period, begun by one of the two; the
    other begins when it hears nothing. A peer is live if it is heard and says that it
    hears us, so that both ends of a cut come to the same view within a heartbeat. Views
    differ meanwhile: what only one instance may do needs a lease of the store.

    :param mesh: calls to the others
    :param instance: this instance
    :param data_centre: this instance's data centre
    :param seeds: addresses known from the settings, for a start without the store
    :param version: returns the highest bundle version here
    """

    def __init__(
        self,
        mesh: Caller,
        *,
        instance: ids.InstanceId,
        data_centre: ids.DataCentreId,
        seeds: Iterable[str] = (),
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._mesh = mesh
        self._instance = instance
        self._data_centre = data_centre
        self._start = secrets.token_hex(DIGEST_BYTES)
        self._version = version
        self._is_leaving = False
        self._seeds = frozenset(seeds)
        self._peers: dict[str, Peer] = {}
        self._wake = trio.Event()
        self._next_s = math.inf
        self._listeners: list[Callable[[str, int], None]] = []
        mesh.serve(KIND, self._on_beat)
        mesh.on_silence(self._on_silence)
        for address in self._seeds:
            self._learn(address)

    def live(self) -> tuple[ids.InstanceId, ...]:
        """Return the live instances, this one too unless it is leaving."""
        own = () if self._is_leaving else (self._instance,)
        return tuple(sorted((*own, *self._in_state(State.LIVE))))

    def leaving(self) -> tuple[ids.InstanceId, ...]:
        """Return the instances that are leaving."""
        own = (self._instance,) if self._is_leaving else ()
        return tuple(sorted((*own, *self._in_state(State.LEAVING))))

    def address_of(self, instance: ids.InstanceId) -> str | None:
        """Return an instance's mesh address, None when it is not known."""
        if instance == self._instance:
            return self._mesh.address
        found = [peer for peer in self._peers.values() if peer.instance == instance]
        newest = max(found, key=lambda peer: peer.heard_s, default=None)
        return None if newest is None else newest.address

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses of the live peers."""
        return tuple(
            peer.address for peer in self._peers.values() if self._state(peer) is State.LIVE
        )

    def dump(self) -> dict[str, str]:
        """Return each peer's state by address, for the state dump."""
        return {peer.address: self._state(peer).value for peer in self._peers.values()}

    def on_version(self, listener: Callable[[str, int], None]) -> None:
        """Call a listener with the address and bundle version of each peer heard."""
        self._listeners.append(listener)

    def set_leaving(self) -> None:
        """Tell the others that this instance takes no new work."""
        self._is_leaving = True
        self.nudge()

    def nudge(self) -> None:
        """Beat at once."""
        for peer in self._peers.values():
            peer.due_s = trio.current_time()
        self._wake.set()

    def on_list(
        self,
        listed: Iterable[entries.InstanceEntry],
        address_of: Callable[[entries.InstanceEntry], str | None],
    ) -> None:
        """Take in the platform's list, which lags.

        :param listed: entry instances
        :param address_of: returns the mesh address of an instance, None when it is not known
        """
        shown = set()
        for entry in listed:
            address = address_of(entry)
            if address is None or address == self._mesh.address:
                continue
            peer = self._learn(address)
            peer.instance = peer.instance or entry.id
            peer.is_listed = True
            peer.is_leaving |= entry.state == State.LEAVING.value
            shown.add(address)
        for peer in self._peers.values():
            if peer.is_listed and peer.address not in shown:
                peer.is_listed = False

    async def run(self) -> None:
        """Beat until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                began_s = trio.current_time()
                self._forget()
                for peer in self._peers.values():
                    if peer.due_s <= began_s:
                        peer.due_s = began_s + self._period_s()
                        if self._begins(peer):
                            nursery.start_soon(self._beat, peer)
                next_s = min((peer.due_s for peer in self._peers.values()), default=began_s + 1.0)
                await self._sleep_until(next_s)

    async def _sleep_until(self, until_s: float) -> None:
        self._wake = trio.Event()
        self._next_s = until_s
        with trio.move_on_at(until_s):
            await self._wake.wait()
        now_s = trio.current_time()
        if now_s - until_s > BEAT_S:
            # This instance was frozen: that is not the others' silence.
            for peer in self._peers.values():
                peer.heard_s = min(now_s, peer.heard_s + now_s - until_s)

    def _period_s(self) -> float:
        return max(BEAT_S, len(self._peers) / MAX_BEATS_PER_S)

    def _silence_s(self) -> float:
        return SILENCE_BEATS * self._period_s()

    def _silent_s(self, peer: Peer) -> float:
        """Return how long a peer has been silent while this instance ran."""
        return min(trio.current_time(), self._next_s + BEAT_S) - peer.heard_s

    def _begins(self, peer: Peer) -> bool:
        """Tell whether this side of a pair sends the heartbeat now."""
        own, other = self._mesh.address, peer.address
        first = min(own, other) if _parity(own, other) else max(own, other)
        is_quiet = self._silent_s(peer) > 1.5 * self._period_s()
        return own == first or is_quiet or peer.has_failed or peer.instance is None

    def _state(self, peer: Peer) -> State:
        is_quiet = self._silent_s(peer) > self._silence_s()
        if peer.is_listed is False and (is_quiet or peer.has_failed):
            return State.GONE
        if is_quiet or peer.has_failed or not peer.hears_us or peer.instance is None:
            return State.SILENT
        return State.LEAVING if peer.is_leaving else State.LIVE

    def _in_state(self, state: State) -> set[ids.InstanceId]:
        return {
            peer.instance
            for peer in self._peers.values()
            if peer.instance is not None and self._state(peer) is state
        }

    def _learn(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            now_s = trio.current_time()
            peer = self._peers[address] = Peer(address=address, heard_s=now_s, due_s=now_s)
            self._wake.set()
        return peer

    def _forget(self) -> None:
        """Drop peers that nobody has heard of for long; seeds stay."""
        horizon_s = trio.current_time() - FORGET_S
        for peer in list(self._peers.values()):
            is_wanted = peer.is_listed or peer.address in self._seeds
            if peer.heard_s < horizon_s and not is_wanted:
                del self._peers[peer.address]

    async def _beat(self, peer: Peer) -> None:
        body = msgspec.msgpack.encode(self._own(peer))
        try:
            answer = await self._mesh.call(peer.address, KIND, body, timeout_s=BEAT_TIMEOUT_S)
            beat = msgspec.msgpack.decode(answer, type=Beat)
        except (errors.BronzequayError, msgspec.MsgspecError):
            return
        self._hear(beat, beat.address)

    async def _on_beat(self, body: bytes) -> bytes:
        beat = msgspec.msgpack.decode(body, type=Beat)
        peer = self._hear(beat, beat.address)
        await trio.lowlevel.checkpoint()
        own = self._own(peer)
        if beat.digest != own.digest:
            own = msgspec.structs.replace(own, peers=tuple(self._peers))
        return msgspec.msgpack.encode(own)

    def _hear(self, beat: Beat, address: str) -> Peer:
        peer = self._learn(address)
        is_restart = peer.start not in {"", beat.start}
        peer.instance = beat.instance
        peer.start = beat.start
        peer.data_centre = beat.data_centre
        peer.version = beat.version
        peer.heard_s = trio.current_time()
        peer.has_failed = False
        peer.hears_us = beat.hears
        # Leaving is for good, but for a new run of the instance.
        peer.is_leaving = beat.is_leaving or (peer.is_leaving and not is_restart)
        for known in beat.peers:
            if known != self._mesh.address:
                self._learn(known)
        for listener in self._listeners:
            listener(address, beat.version)
        return peer

    def _own(self, peer: Peer) -> Beat:
        return Beat(
            instance=self._instance,
            start=self._start,
            address=self._mesh.address,
            data_centre=self._data_centre,
            is_leaving=self._is_leaving,
            hears=self._silent_s(peer) <= self._silence_s() and not peer.has_failed,
            version=self._version(),
            digest=_digest((*self._peers, self._mesh.address)),
        )

    def _on_silence(self, address: str) -> None:
        """Ask a peer whose connection broke, without waiting for its turn."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.has_failed = True
            peer.due_s = trio.current_time()
            self._wake.set()


def _parity(one: str, two: str) -> int:
    """Return 0 or 1, the same for both ends of a pair, to spread who begins."""
    low, high = sorted((one, two))
    return hashlib.blake2b(f"{low}\0{high}".encode(), digest_size=1).digest()[0] % 2


def _digest(addresses: Iterable[str]) -> bytes:
    joined = "\0".join(sorted(addresses))
    return hashlib.blake2b(joined.encode(), digest_size=DIGEST_BYTES).digest()


__all__ = ["BEAT_S", "SILENCE_BEATS", "Beat", "Caller", "Members", "State"]
