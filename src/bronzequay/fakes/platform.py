"""Stand-in for the platform's key-value service; docs/reference/platform.md is its protocol."""

from __future__ import annotations

import base64
import collections
import functools
import random
from typing import TYPE_CHECKING, Any

import msgspec
import quart
import quart_trio
import trio

from bronzequay.fakes import faults, platform_state

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Answer = quart.Response | tuple[dict[str, Any], int]
    Handler = Callable[..., Awaitable[Answer]]

CONTROL_PATHS = frozenset({"/faults", "/stats"})
SEED = 1


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches, as in the protocol's page."""

    down: bool = False
    silent: bool = False
    silent_open: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    late_effect_s: float = 0.0
    lag_s: float = 0.0
    watch_cut: bool = False
    writes_per_s: int | None = None
    reads_per_s: int | None = None


class Stand:
    """The stand-in's state, its faults and its counters.

    :param clock: seconds, monotonic
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.state = platform_state.PlatformState(clock)
        self.state.on_change = self._wake
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting = 0
        self.changed = trio.Event()
        self.rng = random.Random(SEED)  # noqa: S311  # faults need a seed, not secrecy
        self.late: list[tuple[float, Callable[[], Awaitable[None]]]] = []
        self.open_conns: set[Any] = set()
        self.silenced: set[Any] = set()
        self._spent: dict[str, tuple[int, int]] = {}
        self.app: quart_trio.QuartTrio | None = None

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def set_faults(self, switches: Faults) -> None:
        """Replace all switches; ``silent_open`` silences the connections open now."""
        self.faults = switches
        if switches.silent_open:
            self.silenced |= self.open_conns
        self._wake()

    def spend(self, kind: str, per_s: int | None) -> bool:
        """Count a call against a budget by the second; False when it is spent."""
        second = int(self.clock())
        since, spent = self._spent.get(kind, (second, 0))
        if since != second:
            spent = 0
        self._spent[kind] = (second, spent + 1)
        return per_s is None or spent < per_s


def _is_write(scope: dict[str, Any]) -> bool:
    return bool(scope["method"] != "GET")


def _kind(scope: dict[str, Any]) -> str:
    parts = scope["path"].strip("/").split("/")
    return f"{scope['method']} {parts[1] if len(parts) > 1 else parts[0]}"


def _within_budget(stand: Stand, scope: dict[str, Any]) -> bool:
    if _is_write(scope):
        return stand.spend("write", stand.faults.writes_per_s)
    return stand.spend("read", stand.faults.reads_per_s)


async def _deliver(stand: Stand, inner: Any, scope: Any, receive: Any, send: Any) -> None:
    held: list[Any] = []
    lost = _is_write(scope) and stand.rng.random() < stand.faults.lose_answers
    replay = await faults.read_body(receive)
    effect = functools.partial(inner, scope, replay, functools.partial(faults.hold_answer, held))
    if lost and stand.faults.late_effect_s > 0:
        stand.late.append((stand.clock() + stand.faults.late_effect_s, effect))
        await faults.cut(send)
    await trio.sleep(stand.faults.delay_s / 2)
    await effect()
    await trio.sleep(stand.faults.delay_s / 2)
    if lost:
        await faults.cut(send)
    for message in held:
        await send(message)


async def _run_late_effects(stand: Stand) -> None:
    due = [effect for at_s, effect in stand.late if at_s <= stand.clock()]
    stand.late = [(at_s, effect) for at_s, effect in stand.late if at_s > stand.clock()]
    for effect in due:
        await effect()


def _with_faults(stand: Stand, inner: Any) -> Any:
    async def call(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"] in CONTROL_PATHS:
            await inner(scope, receive, send)
            return
        stand.open_conns.add(tuple(scope["client"]))
        stand.calls[_kind(scope)] += 1
        await _run_late_effects(stand)
        stand.state.expire()
        if stand.faults.silent:
            stand.silenced.add(tuple(scope["client"]))
        if tuple(scope["client"]) in stand.silenced:
            await faults.stay_silent(receive)
        elif stand.faults.down:
            await faults.answer(send, 503)
        elif not _within_budget(stand, scope):
            await faults.answer(send, 429)
        else:
            await _deliver(stand, inner, scope, receive, send)

    return call


def _refusals(handler: Handler) -> Handler:
    @functools.wraps(handler)
    async def call(*args: Any, **kwargs: Any) -> Answer:
        try:
            return await handler(*args, **kwargs)
        except platform_state.RefusedError as exc:
            return {"rev": exc.rev}, exc.status
        except (KeyError, ValueError, msgspec.MsgspecError) as exc:
            return {"error": repr(exc)}, 400

    return call


def _shown(item: platform_state.Item) -> dict[str, Any]:
    value = item.value
    value_b64 = None if value is None else base64.b64encode(value).decode()
    return {"key": item.key, "rev": item.rev, "value_b64": value_b64}


def _add_keys(app: quart_trio.QuartTrio, stand: Stand) -> None:
    state = stand.state

    @app.get("/v1/kv/<path:key>")
    @_refusals
    async def get(key: str) -> Answer:
        item = state.get(key)
        if item is None or item.value is None:
            return {"rev": 0}, 404
        headers = {"x-revision": str(item.rev)}
        return quart.Response(item.value, 200, headers, content_type="application/octet-stream")

    @app.put("/v1/kv/<path:key>")
    @_refusals
    async def put(key: str) -> Answer:
        args = quart.request.args
        body = await quart.request.body
        rev = state.put(key, body, rev=int(args["rev"]), lease=args.get("lease"))
        return {"rev": rev}, 200

    @app.delete("/v1/kv/<path:key>")
    @_refusals
    async def delete(key: str) -> Answer:
        return {"rev": state.delete(key, rev=int(quart.request.args["rev"]))}, 200

    @app.get("/v1/range")
    @_refusals
    async def range_() -> Answer:
        prefix = quart.request.args["prefix"]
        return {"rev": state.rev, "items": [_shown(item) for item in state.range(prefix)]}, 200


def _add_watch(app: quart_trio.QuartTrio, stand: Stand) -> None:
    async def wait(prefix: str, after: int, until_s: float) -> list[platform_state.Item]:
        while True:
            while stand.faults.watch_cut:
                await stand.changed.wait()
            stand.state.expire()
            found = stand.state.changes(prefix, after)
            now = stand.clock()
            if found or now >= until_s:
                return found
            pause_s = min(until_s, stand.state.next_expiry_s()) - now
            with trio.move_on_after(max(pause_s, 0.001)):
                await stand.changed.wait()

    @app.get("/v1/watch")
    @_refusals
    async def watch() -> Answer:
        args = quart.request.args
        until_s = stand.clock() + float(args["wait_s"])
        stand.waiting += 1
        try:
            found = await wait(args["prefix"], int(args["after"]), until_s)
        finally:
            stand.waiting -= 1
        return {"rev": stand.state.rev, "events": [_shown(item) for item in found]}, 200


def _add_leases(app: quart_trio.QuartTrio, stand: Stand) -> None:
    @app.post("/v1/lease")
    @_refusals
    async def grant() -> Answer:
        return {"lease": stand.state.grant(float(quart.request.args["ttl_s"]))}, 200

    @app.post("/v1/lease/<lease>/renew")
    @_refusals
    async def renew(lease: str) -> Answer:
        stand.state.renew(lease)
        return {}, 200

    @app.delete("/v1/lease/<lease>")
    @_refusals
    async def revoke(lease: str) -> Answer:
        stand.state.revoke(lease)
        return {}, 200


def _add_instances(app: quart_trio.QuartTrio, stand: Stand) -> None:
    @app.get("/v1/instances")
    @_refusals
    async def instances() -> Answer:
        return {"instances": stand.state.instances(stand.faults.lag_s)}, 200

    @app.put("/v1/instances/<instance>")
    @_refusals
    async def set_instance(instance: str) -> Answer:
        entry = msgspec.json.decode(await quart.request.get_data(), type=dict[str, str])
        stand.state.set_instance(instance, entry)
        return {}, 200

    @app.delete("/v1/instances/<instance>")
    @_refusals
    async def remove_instance(instance: str) -> Answer:
        stand.state.set_instance(instance, None)
        return {}, 200


def _add_control(app: quart_trio.QuartTrio, stand: Stand) -> None:
    @app.get("/healthz")
    async def health() -> Answer:
        return {}, 200

    @app.put("/faults")
    @_refusals
    async def set_faults() -> Answer:
        stand.set_faults(msgspec.json.decode(await quart.request.get_data(), type=Faults))
        return {}, 200

    @app.get("/stats")
    async def stats() -> Answer:
        return {"calls": dict(stand.calls), "waiting": stand.waiting}, 200


def make_app(*, clock: Callable[[], float] = trio.current_time) -> quart_trio.QuartTrio:
    """Build the stand-in.

    :param clock: seconds, monotonic; leases and lags run on it
    """
    app = quart_trio.QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = 2 * platform_state.MAX_VALUE_BYTES
    stand = Stand(clock)
    app.extensions["stand"] = stand
    stand.app = app
    _add_keys(app, stand)
    _add_watch(app, stand)
    _add_leases(app, stand)
    _add_instances(app, stand)
    _add_control(app, stand)
    app.asgi_app = _with_faults(stand, app.asgi_app)  # type: ignore[method-assign]
    return app


__all__ = ["Faults", "Stand", "make_app"]
