"""Stand-in for executors that answer short requests: many in one process.

Each has its own fault switches.
"""

from __future__ import annotations

import base64
import collections
import random
from typing import TYPE_CHECKING, Any

import msgspec
import quart
import quart_trio
import trio

from bronzequay import ids

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, MutableMapping

    Scope = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
    AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

SLOTS = 8
MAX_CONNECTIONS = 64
RUN_SUFFIX = "/v1/run"
PREFIX = "/e/"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of one executor.

    :param fail: whether every run is answered with 500
    :param refuse: whether every request is refused as not run
    :param silent: whether requests are neither run nor answered
    :param delay_s: run time of every request, in seconds
    :param lose_answers: share of runs whose connection is cut after the run
    :param leaving: whether it reports that it leaves
    """

    fail: bool = False
    refuse: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    leaving: bool = False


class ExecutorFake:
    """State of one executor."""

    def __init__(self, executor: ids.ExecutorId) -> None:
        self.executor = executor
        self.faults = Faults()
        self.slots = trio.CapacityLimiter(SLOTS)
        self.connections = 0
        self.max_connections = 0
        self.max_busy = 0

    def busy(self) -> int:
        """Return the number of slots in use."""
        return int(self.slots.borrowed_tokens)

    def in_flight(self) -> int:
        """Return the number of requests that run or wait for a slot."""
        return self.busy() + self.slots.statistics().tasks_waiting

    def state(self) -> str:
        """Return the state that the executor reports."""
        return "leaving" if self.faults.leaving else "live"


class Fleet:
    """Executors of one process, with the number of runs by request.

    :param seed: seed of the draws of lost answers
    """

    def __init__(self, executors: Iterable[ids.ExecutorId], *, seed: int = 0) -> None:
        self.executors = {name: ExecutorFake(name) for name in executors}
        self.runs: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(seed)  # noqa: S311 - draws faults, no secrets


def make_app(
    executors: Iterable[ids.ExecutorId],
    *,
    service: ids.ServiceId,
    data_centre: ids.DataCentreId,
    fleet: Fleet | None = None,
) -> quart_trio.QuartTrio:
    """Build the application that hosts the executors under ``/e/{executor}``.

    :param executors: names of the executors
    :param service: service of all executors
    :param data_centre: data centre that all executors report
    :param fleet: state to use in place of a new one, for tests that inspect it
    :return: an ASGI application that answers ``/v1/run`` without the framework
    """
    fleet_state = fleet or Fleet(executors)
    app = quart_trio.QuartTrio(__name__)
    _add_pages(app, fleet_state, service, data_centre)
    _add_switches(app, fleet_state)
    app.asgi_app = _bypass_framework(fleet_state, app.asgi_app)  # type: ignore[arg-type, assignment, method-assign]
    return app


def _add_pages(
    app: quart_trio.QuartTrio,
    fleet: Fleet,
    service: ids.ServiceId,
    data_centre: ids.DataCentreId,
) -> None:
    @app.get("/e/<executor>/v1/executor")
    async def describe(executor: str) -> quart.Response:
        fake = _get_executor(fleet, executor)
        if fake.faults.silent:
            await trio.sleep_forever()
        return _json(
            {
                "executor": fake.executor,
                "service": service,
                "data_centre": data_centre,
                "slots": SLOTS,
                "busy": fake.busy(),
                "state": fake.state(),
            }
        )

    @app.get("/runs")
    async def runs() -> quart.Response:
        return _json(dict(fleet.runs))

    @app.get("/healthz")
    async def healthz() -> quart.Response:
        return _json({"executors": len(fleet.executors)})


def _add_switches(app: quart_trio.QuartTrio, fleet: Fleet) -> None:
    @app.put("/e/<executor>/faults")
    async def set_executor_faults(executor: str) -> quart.Response:
        fake = _get_executor(fleet, executor)
        fake.faults = await _read_faults()
        return _json({})

    @app.put("/faults")
    async def set_all_faults() -> quart.Response:
        faults = await _read_faults()
        for fake in fleet.executors.values():
            fake.faults = msgspec.structs.replace(faults)
        return _json({})


async def _read_faults() -> Faults:
    body = await quart.request.get_data(as_text=False)
    try:
        return msgspec.json.decode(body, type=Faults)
    except msgspec.ValidationError as exc:
        quart.abort(400, str(exc))
    except msgspec.DecodeError as exc:
        quart.abort(400, str(exc))


def _get_executor(fleet: Fleet, executor: str) -> ExecutorFake:
    fake = fleet.executors.get(ids.ExecutorId(executor))
    if fake is None:
        quart.abort(404)
    return fake


def _json(value: object) -> quart.Response:
    return quart.Response(msgspec.json.encode(value), content_type="application/json")


def _bypass_framework(fleet: Fleet, inner: AsgiApp) -> AsgiApp:
    """Answer ``/v1/run``, the hot path, directly and pass other paths to the framework."""

    async def asgi(scope: Scope, receive: Receive, send: Send) -> None:
        fake = _run_target(fleet, scope)
        if fake is None:
            await inner(scope, receive, send)
            return
        fake.connections += 1
        fake.max_connections = max(fake.max_connections, fake.connections)
        try:
            await _run(fleet, fake, scope, receive, send)
        finally:
            fake.connections -= 1

    return asgi


def _run_target(fleet: Fleet, scope: Scope) -> ExecutorFake | None:
    if scope["type"] != "http" or scope["method"] != "POST":
        return None
    path: str = scope["path"]
    if not (path.startswith(PREFIX) and path.endswith(RUN_SUFFIX)):
        return None
    name = path[len(PREFIX) : -len(RUN_SUFFIX)]
    return fleet.executors.get(ids.ExecutorId(name))


async def _run(
    fleet: Fleet, fake: ExecutorFake, scope: Scope, receive: Receive, send: Send
) -> None:
    body = await _read_body(receive)
    request = _request_id(scope)
    faults = fake.faults
    if fake.connections > MAX_CONNECTIONS:
        await _cut_connection(send)
        return
    if faults.silent:
        await _wait_for_disconnect(receive)
        return
    if faults.refuse:
        await _send_answer(fake, send, 503, request, b"", (b"x-not-run", b"1"))
        return
    async with fake.slots:
        fake.max_busy = max(fake.max_busy, fake.busy())
        fleet.runs[request] += 1
        if faults.delay_s:
            await trio.sleep(faults.delay_s)
    if faults.lose_answers and fleet.rng.random() < faults.lose_answers:
        await _cut_connection(send)
        return
    if faults.fail:
        await _send_answer(fake, send, 500, request, b"")
        return
    answer = {
        "request": request,
        "echo_b64": base64.b64encode(body).decode(),
        "executor": fake.executor,
        "runs": fleet.runs[request],
    }
    await _send_answer(fake, send, 200, request, msgspec.json.encode(answer))


async def _read_body(receive: Receive) -> bytes:
    parts: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return b"".join(parts)
        parts.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(parts)


def _request_id(scope: Scope) -> str:
    for name, value in scope["headers"]:
        if name == b"x-request-id":
            return bytes(value).decode("latin-1")
    return ""


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _cut_connection(send: Send) -> None:
    """Close the connection without an answer.

    ASGI has no message for this; a response shorter than its declared length makes the server
    close the connection.
    """
    headers = [(b"content-length", b"1")]
    await send({"type": "http.response.start", "status": 500, "headers": headers})
    raise ConnectionResetError("connection cut by a fault switch or the connection limit")


async def _send_answer(
    fake: ExecutorFake,
    send: Send,
    status: int,
    request: str,
    body: bytes,
    *extra: tuple[bytes, bytes],
) -> None:
    headers = [
        (b"content-length", str(len(body)).encode()),
        (b"x-request-id", request.encode("latin-1")),
        (b"x-busy", str(fake.in_flight()).encode()),
        (b"x-state", fake.state().encode()),
        *extra,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


__all__ = ["Faults", "Fleet", "make_app"]
