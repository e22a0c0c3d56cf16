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
    """Fault switches, as documented with the protocol.

    :param down: whether every call is answered with 503
    :param silent: whether calls are neither carried out nor answered; a connection that carries a
        call meanwhile stays silent after the switch is cleared
    :param silent_open: whether the connections open when it is set stay silent from then on
    :param delay_s: duration of each call, in seconds
    :param lose_answers: share of writes whose connection is cut instead of an answer
    :param late_effect_s: if above 0, such a write takes effect at the first call after this many
        seconds
    :param lag_s: age of the instance list that is reported, in seconds
    :param watch_cut: whether watches neither report events nor end
    :param writes_per_s: writes carried out in a second, None for no limit; the others are answered
        with 429
    :param reads_per_s: likewise for reads
    """

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


class Fake:
    """State, faults and counters of the stand-in.

    :param clock: returns the monotonic time, in seconds
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.state = platform_state.PlatformState(clock)
        self.state.on_change = self._wake
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0
        self.changed = trio.Event()
        self.rng = random.Random(SEED)  # noqa: S311  # faults need a seed, not secrecy
        self.late_effects: list[tuple[float, Callable[[], Awaitable[None]]]] = []
        self.open_conns: set[Any] = set()
        self.silenced_conns: set[Any] = set()
        self._budget_use: dict[str, tuple[int, int]] = {}
        self.app: quart_trio.QuartTrio | None = None

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def set_faults(self, switches: Faults) -> None:
        """Replace all switches; ``silent_open`` silences the connections that are open now."""
        self.faults = switches
        if switches.silent_open:
            self.silenced_conns |= self.open_conns
        self._wake()

    def consume_budget(self, kind: str, per_s: int | None) -> bool:
        """Count a call against a budget per second; return whether it was within the budget."""
        second = int(self.clock())
        since, spent = self._budget_use.get(kind, (second, 0))
        if since != second:
            spent = 0
        self._budget_use[kind] = (second, spent + 1)
        return per_s is None or spent < per_s


def _is_write(scope: dict[str, Any]) -> bool:
    return bool(scope["method"] != "GET")


def _call_kind(scope: dict[str, Any]) -> str:
    parts = scope["path"].strip("/").split("/")
    return f"{scope['method']} {parts[1] if len(parts) > 1 else parts[0]}"


def _is_within_budget(fake: Fake, scope: dict[str, Any]) -> bool:
    if _is_write(scope):
        return fake.consume_budget("write", fake.faults.writes_per_s)
    return fake.consume_budget("read", fake.faults.reads_per_s)


async def _run_with_faults(fake: Fake, inner: Any, scope: Any, receive: Any, send: Any) -> None:
    messages: list[Any] = []
    is_answer_lost = _is_write(scope) and fake.rng.random() < fake.faults.lose_answers
    replay = await faults.buffer_body(receive)
    effect = functools.partial(
        inner, scope, replay, functools.partial(faults.buffer_message, messages)
    )
    if is_answer_lost and fake.faults.late_effect_s > 0:
        fake.late_effects.append((fake.clock() + fake.faults.late_effect_s, effect))
        await faults.cut_connection(send)
    await trio.sleep(fake.faults.delay_s / 2)
    await effect()
    await trio.sleep(fake.faults.delay_s / 2)
    if is_answer_lost:
        await faults.cut_connection(send)
    for message in messages:
        await send(message)


async def _run_late_effects(fake: Fake) -> None:
    due = [effect for at_s, effect in fake.late_effects if at_s <= fake.clock()]
    fake.late_effects = [
        (at_s, effect) for at_s, effect in fake.late_effects if at_s > fake.clock()
    ]
    for effect in due:
        await effect()


def _with_faults(fake: Fake, inner: Any) -> Any:
    async def call(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] != "http" or scope["path"] in CONTROL_PATHS:
            await inner(scope, receive, send)
            return
        fake.open_conns.add(tuple(scope["client"]))
        fake.calls[_call_kind(scope)] += 1
        await _run_late_effects(fake)
        fake.state.expire()
        if fake.faults.silent:
            fake.silenced_conns.add(tuple(scope["client"]))
        if tuple(scope["client"]) in fake.silenced_conns:
            await faults.stay_silent(receive)
        elif fake.faults.down:
            await faults.send_status(send, 503)
        elif not _is_within_budget(fake, scope):
            await faults.send_status(send, 429)
        else:
            await _run_with_faults(fake, inner, scope, receive, send)

    return call


def _map_errors(handler: Handler) -> Handler:
    @functools.wraps(handler)
    async def call(*args: Any, **kwargs: Any) -> Answer:
        try:
            return await handler(*args, **kwargs)
        except platform_state.RefusedError as exc:
            return {"rev": exc.rev}, exc.status
        except (KeyError, ValueError, msgspec.MsgspecError) as exc:
            return {"error": repr(exc)}, 400

    return call


def _item_body(item: platform_state.Item) -> dict[str, Any]:
    value = item.value
    value_b64 = None if value is None else base64.b64encode(value).decode()
    return {"key": item.key, "rev": item.rev, "value_b64": value_b64}


def _add_keys(app: quart_trio.QuartTrio, fake: Fake) -> None:
    state = fake.state

    @app.get("/v1/kv/<path:key>")
    @_map_errors
    async def get(key: str) -> Answer:
        item = state.get(key)
        if item is None or item.value is None:
            return {"rev": 0}, 404
        headers = {"x-revision": str(item.rev)}
        return quart.Response(item.value, 200, headers, content_type="application/octet-stream")

    @app.put("/v1/kv/<path:key>")
    @_map_errors
    async def put(key: str) -> Answer:
        args = quart.request.args
        body = await quart.request.body
        rev = state.put(key, body, rev=int(args["rev"]), lease=args.get("lease"))
        return {"rev": rev}, 200

    @app.delete("/v1/kv/<path:key>")
    @_map_errors
    async def delete(key: str) -> Answer:
        return {"rev": state.delete(key, rev=int(quart.request.args["rev"]))}, 200

    @app.get("/v1/range")
    @_map_errors
    async def range_() -> Answer:
        prefix = quart.request.args["prefix"]
        return {"rev": state.rev, "items": [_item_body(item) for item in state.range(prefix)]}, 200


def _add_watch(app: quart_trio.QuartTrio, fake: Fake) -> None:
    async def wait(prefix: str, after: int, until_s: float) -> list[platform_state.Item]:
        while True:
            while fake.faults.watch_cut:
                await fake.changed.wait()
            fake.state.expire()
            changes = fake.state.changes(prefix, after)
            now_s = fake.clock()
            if changes or now_s >= until_s:
                return changes
            pause_s = min(until_s, fake.state.next_expiry_s()) - now_s
            with trio.move_on_after(max(pause_s, 0.001)):
                await fake.changed.wait()

    @app.get("/v1/watch")
    @_map_errors
    async def watch() -> Answer:
        args = quart.request.args
        until_s = fake.clock() + float(args["wait_s"])
        fake.waiting_watches += 1
        try:
            changes = await wait(args["prefix"], int(args["after"]), until_s)
        finally:
            fake.waiting_watches -= 1
        return {"rev": fake.state.rev, "events": [_item_body(item) for item in changes]}, 200


def _add_leases(app: quart_trio.QuartTrio, fake: Fake) -> None:
    @app.post("/v1/lease")
    @_map_errors
    async def grant() -> Answer:
        return {"lease": fake.state.grant(float(quart.request.args["ttl_s"]))}, 200

    @app.post("/v1/lease/<lease>/renew")
    @_map_errors
    async def renew(lease: str) -> Answer:
        fake.state.renew(lease)
        return {}, 200

    @app.delete("/v1/lease/<lease>")
    @_map_errors
    async def revoke(lease: str) -> Answer:
        fake.state.revoke(lease)
        return {}, 200


def _add_instances(app: quart_trio.QuartTrio, fake: Fake) -> None:
    @app.get("/v1/instances")
    @_map_errors
    async def instances() -> Answer:
        return {"instances": fake.state.instances(fake.faults.lag_s)}, 200

    @app.put("/v1/instances/<instance>")
    @_map_errors
    async def set_instance(instance: str) -> Answer:
        entry = msgspec.json.decode(await quart.request.get_data(), type=dict[str, str])
        fake.state.set_instance(instance, entry)
        return {}, 200

    @app.delete("/v1/instances/<instance>")
    @_map_errors
    async def remove_instance(instance: str) -> Answer:
        fake.state.set_instance(instance, None)
        return {}, 200


def _add_control(app: quart_trio.QuartTrio, fake: Fake) -> None:
    @app.get("/healthz")
    async def health() -> Answer:
        return {}, 200

    @app.put("/faults")
    @_map_errors
    async def set_faults() -> Answer:
        fake.set_faults(msgspec.json.decode(await quart.request.get_data(), type=Faults))
        return {}, 200

    @app.get("/stats")
    async def stats() -> Answer:
        return {"calls": dict(fake.calls), "waiting": fake.waiting_watches}, 200


def make_app(*, clock: Callable[[], float] = trio.current_time) -> quart_trio.QuartTrio:
    """Build the application of the stand-in.

    :param clock: returns the monotonic time, in seconds; leases and lags are measured with it
    """
    app = quart_trio.QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = 2 * platform_state.MAX_VALUE_BYTES
    fake = Fake(clock)
    app.extensions["stand"] = fake
    fake.app = app
    _add_keys(app, fake)
    _add_watch(app, fake)
    _add_leases(app, fake)
    _add_instances(app, fake)
    _add_control(app, fake)
    app.asgi_app = _with_faults(fake, app.asgi_app)  # type: ignore[method-assign]
    return app


__all__ = ["Fake", "Faults", "make_app"]
