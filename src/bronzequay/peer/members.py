"""Membership of the mesh, from the platform's list, heartbeats and broken connections."""

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

MESSAGE_KIND = "beat"
HEARTBEAT_S = 1.0
MAX_HEARTBEATS_PER_S = 8.0
SILENCE_PERIODS = 3.0
HEARTBEAT_TIMEOUT_S = 1.0
PEER_EXPIRY_S = 600.0
DIGEST_BYTES = 8


class State(enum.Enum):
    """State of a peer in this instance's view.

    ``SILENT``: not heard, disconnected, not hearing this instance, or not yet identified.
    ``GONE``: not heard or disconnected, and removed from the platform's list.
    """

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """A heartbeat or the answer to one.

    :param instance: id of the sender
    :param run_id: random id of this run of the sender
    :param address: mesh address of the sender
    :param data_centre: the sender's data centre
    :param is_leaving: whether the sender accepts no new work
    :param hears_receiver: whether the sender hears the receiver
    :param version: the highest bundle version at the sender
    :param digest: digest of the addresses that the sender knows
    :param peers: the addresses that the sender knows; only in answers, if the digests differ
    """

    instance: ids.InstanceId
    run_id: str
    address: str
    data_centre: ids.DataCentreId
    is_leaving: bool
    hears_receiver: bool
    version: int
    digest: bytes
    peers: tuple[str, ...] = ()


class Mesh(Protocol):
    """Methods of the mesh that membership needs."""

    @property
    def address(self) -> str:
        """Return the address at which this instance receives messages."""

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler for calls of a kind."""

    def add_silence_listener(self, listener: Callable[[str], None]) -> None:
        """Register a listener for broken and silent connections."""

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer."""


@dataclasses.dataclass(slots=True)
class Peer:
    """What this instance knows about another one, identified by its mesh address.

    :param last_heard_s: time at which it was last heard, on the runtime's clock
    :param next_heartbeat_s: time at which its next heartbeat is due, on the runtime's clock
    :param run_id: random id of its current run; empty if it has not been heard
    :param version: the highest bundle version that it has reported
    :param hears_us: whether it reports that it hears this instance
    :param is_listed: whether the platform's latest list contains it; None if no list has
    :param is_connection_broken: whether its connection broke after it was last heard
    """

    address: str
    last_heard_s: float
    next_heartbeat_s: float
    instance: ids.InstanceId | None = None
    run_id: str = ""
    data_centre: ids.DataCentreId | None = None
    version: int = 0
    is_leaving: bool = False
    hears_us: bool = True
    is_listed: bool | None = None
    is_connection_broken: bool = False


class Members:
    """This instance's view of the others, updated by whichever source reports a change first.

    Each pair of instances exchanges one heartbeat per period, sent by one of the two; the
    other one sends if it hears nothing. A peer is live if it is heard and reports that it
    hears this instance, so that both ends of a cut reach the same view within a heartbeat.
    Until then views differ: what only one instance may do needs a lease of the store.

    :param mesh: makes calls to the peers
    :param instance: id of this instance
    :param data_centre: this instance's data centre
    :param seeds: addresses from the settings, which allow a start without the store
    :param version: returns the highest bundle version at this instance
    """

    def __init__(
        self,
        mesh: Mesh,
        *,
        instance: ids.InstanceId,
        data_centre: ids.DataCentreId,
        seeds: Iterable[str] = (),
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._mesh = mesh
        self._instance = instance
        self._data_centre = data_centre
        self._run_id = secrets.token_hex(DIGEST_BYTES)
        self._version = version
        self._is_leaving = False
        self._seeds = frozenset(seeds)
        self._peers: dict[str, Peer] = {}
        self._wake = trio.Event()
        self._wake_due_s = math.inf
        self._version_listeners: list[Callable[[str, int], None]] = []
        mesh.serve(MESSAGE_KIND, self._handle_heartbeat)
        mesh.add_silence_listener(self._on_silence)
        for address in self._seeds:
            self._get_or_add_peer(address)

    def live(self) -> tuple[ids.InstanceId, ...]:
        """Return the live instances, including this one unless it is leaving."""
        own_entry = () if self._is_leaving else (self._instance,)
        return tuple(sorted((*own_entry, *self._in_state(State.LIVE))))

    def leaving(self) -> tuple[ids.InstanceId, ...]:
        """Return the instances that accept no new work, including this one if it is leaving."""
        own_entry = (self._instance,) if self._is_leaving else ()
        return tuple(sorted((*own_entry, *self._in_state(State.LEAVING))))

    def address_of(self, instance: ids.InstanceId) -> str | None:
        """Return an instance's mesh address, None if it is unknown."""
        if instance == self._instance:
            return self._mesh.address
        candidates = [peer for peer in self._peers.values() if peer.instance == instance]
        newest = max(candidates, key=lambda peer: peer.last_heard_s, default=None)
        return None if newest is None else newest.address

    def live_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the live peers."""
        return tuple(
            peer.address for peer in self._peers.values() if self._state(peer) is State.LIVE
        )

    def dump(self) -> dict[str, str]:
        """Return each peer's state by address, for the state dump."""
        return {peer.address: self._state(peer).value for peer in self._peers.values()}

    def add_version_listener(self, listener: Callable[[str, int], None]) -> None:
        """Register a listener for the address and bundle version in each heartbeat."""
        self._version_listeners.append(listener)

    def set_leaving(self) -> None:
        """Announce to the peers that this instance accepts no new work."""
        self._is_leaving = True
        self.send_heartbeats_now()

    def send_heartbeats_now(self) -> None:
        """Make heartbeats to all peers due now."""
        for peer in self._peers.values():
            peer.next_heartbeat_s = trio.current_time()
        self._wake.set()

    def update_from_list(
        self,
        listed: Iterable[entries.InstanceEntry],
        address_of: Callable[[entries.InstanceEntry], str | None],
    ) -> None:
        """Update the peers from the platform's list, which lags behind the changes.

        :param listed: the entry instances of the list
        :param address_of: returns the mesh address of an instance, None if it is unknown
        """
        listed_addresses = set()
        for entry in listed:
            address = address_of(entry)
            if address is None or address == self._mesh.address:
                continue
            peer = self._get_or_add_peer(address)
            peer.instance = peer.instance or entry.id
            peer.is_listed = True
            peer.is_leaving |= entry.state == State.LEAVING.value
            listed_addresses.add(address)
        for peer in self._peers.values():
            if peer.is_listed and peer.address not in listed_addresses:
                peer.is_listed = False

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                started_s = trio.current_time()
                self._remove_expired_peers()
                for peer in self._peers.values():
                    if peer.next_heartbeat_s <= started_s:
                        peer.next_heartbeat_s = started_s + self._heartbeat_period_s()
                        if self._is_sender(peer):
                            nursery.start_soon(self._send_heartbeat, peer)
                next_s = min(
                    (peer.next_heartbeat_s for peer in self._peers.values()),
                    default=started_s + 1.0,
                )
                await self._sleep_until(next_s)

    async def _sleep_until(self, until_s: float) -> None:
        self._wake = trio.Event()
        self._wake_due_s = until_s
        with trio.move_on_at(until_s):
            await self._wake.wait()
        now_s = trio.current_time()
        if now_s - until_s > HEARTBEAT_S:
            # This instance was frozen; that time does not count as silence of the peers.
            for peer in self._peers.values():
                peer.last_heard_s = min(now_s, peer.last_heard_s + now_s - until_s)

    def _heartbeat_period_s(self) -> float:
        return max(HEARTBEAT_S, len(self._peers) / MAX_HEARTBEATS_PER_S)

    def _max_silence_s(self) -> float:
        return SILENCE_PERIODS * self._heartbeat_period_s()

    def _silent_for_s(self, peer: Peer) -> float:
        """Return a peer's silence in seconds, not counting a freeze of this instance."""
        return min(trio.current_time(), self._wake_due_s + HEARTBEAT_S) - peer.last_heard_s

    def _is_sender(self, peer: Peer) -> bool:
        """Return whether this instance sends the peer the heartbeat that is due."""
        own_address, peer_address = self._mesh.address, peer.address
        sender = (
            min(own_address, peer_address)
            if _parity(own_address, peer_address)
            else max(own_address, peer_address)
        )
        is_late = self._silent_for_s(peer) > 1.5 * self._heartbeat_period_s()
        return (
            own_address == sender or is_late or peer.is_connection_broken or peer.instance is None
        )

    def _state(self, peer: Peer) -> State:
        is_silent = self._silent_for_s(peer) > self._max_silence_s()
        if peer.is_listed is False and (is_silent or peer.is_connection_broken):
            return State.GONE
        if is_silent or peer.is_connection_broken or not peer.hears_us or peer.instance is None:
            return State.SILENT
        return State.LEAVING if peer.is_leaving else State.LIVE

    def _in_state(self, state: State) -> set[ids.InstanceId]:
        return {
            peer.instance
            for peer in self._peers.values()
            if peer.instance is not None and self._state(peer) is state
        }

    def _get_or_add_peer(self, address: str) -> Peer:
        peer = self._peers.get(address)
        if peer is None:
            now_s = trio.current_time()
            peer = self._peers[address] = Peer(
                address=address, last_heard_s=now_s, next_heartbeat_s=now_s
            )
            self._wake.set()
        return peer

    def _remove_expired_peers(self) -> None:
        """Remove peers not heard for ``PEER_EXPIRY_S``, except listed ones and seeds."""
        expired_before_s = trio.current_time() - PEER_EXPIRY_S
        for peer in list(self._peers.values()):
            is_retained = peer.is_listed or peer.address in self._seeds
            if peer.last_heard_s < expired_before_s and not is_retained:
                del self._peers[peer.address]

    async def _send_heartbeat(self, peer: Peer) -> None:
        body = msgspec.msgpack.encode(self._new_heartbeat(peer))
        try:
            answer = await self._mesh.call(
                peer.address, MESSAGE_KIND, body, timeout_s=HEARTBEAT_TIMEOUT_S
            )
            heartbeat = msgspec.msgpack.decode(answer, type=Heartbeat)
        except (errors.BronzequayError, msgspec.MsgspecError):
            return
        self._record_heartbeat(heartbeat, heartbeat.address)

    async def _handle_heartbeat(self, body: bytes) -> bytes:
        heartbeat = msgspec.msgpack.decode(body, type=Heartbeat)
        peer = self._record_heartbeat(heartbeat, heartbeat.address)
        await trio.lowlevel.checkpoint()
        answer = self._new_heartbeat(peer)
        if heartbeat.digest != answer.digest:
            answer = msgspec.structs.replace(answer, peers=tuple(self._peers))
        return msgspec.msgpack.encode(answer)

    def _record_heartbeat(self, heartbeat: Heartbeat, address: str) -> Peer:
        peer = self._get_or_add_peer(address)
        is_restart = peer.run_id not in {"", heartbeat.run_id}
        peer.instance = heartbeat.instance
        peer.run_id = heartbeat.run_id
        peer.data_centre = heartbeat.data_centre
        peer.version = heartbeat.version
        peer.last_heard_s = trio.current_time()
        peer.is_connection_broken = False
        peer.hears_us = heartbeat.hears_receiver
        # Leaving is final until the instance starts a new run.
        peer.is_leaving = heartbeat.is_leaving or (peer.is_leaving and not is_restart)
        for known_address in heartbeat.peers:
            if known_address != self._mesh.address:
                self._get_or_add_peer(known_address)
        for listener in self._version_listeners:
            listener(address, heartbeat.version)
        return peer

    def _new_heartbeat(self, peer: Peer) -> Heartbeat:
        return Heartbeat(
            instance=self._instance,
            run_id=self._run_id,
            address=self._mesh.address,
            data_centre=self._data_centre,
            is_leaving=self._is_leaving,
            hears_receiver=self._silent_for_s(peer) <= self._max_silence_s()
            and not peer.is_connection_broken,
            version=self._version(),
            digest=_digest((*self._peers, self._mesh.address)),
        )

    def _on_silence(self, address: str) -> None:
        """Record that a peer's connection broke, and make a heartbeat to it due now."""
        peer = self._peers.get(address)
        if peer is not None:
            peer.is_connection_broken = True
            peer.next_heartbeat_s = trio.current_time()
            self._wake.set()


def _parity(address_1: str, address_2: str) -> int:
    """Return 0 or 1, the same at both ends of a pair, to balance who sends heartbeats."""
    low, high = sorted((address_1, address_2))
    return hashlib.blake2b(f"{low}\0{high}".encode(), digest_size=1).digest()[0] % 2


def _digest(addresses: Iterable[str]) -> bytes:
    joined = "\0".join(sorted(addresses))
    return hashlib.blake2b(joined.encode(), digest_size=DIGEST_BYTES).digest()


__all__ = ["HEARTBEAT_S", "SILENCE_PERIODS", "Heartbeat", "Members", "Mesh", "State"]
