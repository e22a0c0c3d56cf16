"""Instances on slow links: when a new configuration is in force there, and what they answer by."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
import trio

from bronzequay.fakes import kv
from bronzequay.net import server
from tests.control.site import CONFIG, CONFIG_S, STORE, Site

if TYPE_CHECKING:
    from trio.testing import MockClock

JOB = "00ff00ff00ff00ff"
SLOW_LINK = 5_000_000 / 8
"""Bytes a second on the slowest links of the users' sheets."""
MOST_CONFIRM_S = 0.1
"""Time from reading a configuration to the confirmation that it is the latest."""
MANY_ROUTES = 4200
"""The store holds values of up to a megabyte; this many routes have 0.74 MB."""


@pytest.fixture
async def site(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> Site:
    return Site(monkeypatch, nursery)


def with_routes(version: int, count: int) -> dict[str, Any]:
    """Return a configuration with further routes; the one to /new/ is its last."""
    padding = "x" * 90
    names = [f"more-{number}-{padding}" for number in range(count - 1)]
    more = [
        {"name": name, "host": "h", "prefix": f"/{name[:12]}/", "service": "service"}
        for name in names
    ]
    new = {"name": "new", "host": "h", "prefix": "/new/", "service": "service"}
    return {**CONFIG, "version": version, "routes": [*CONFIG["routes"], *more, new]}


@pytest.mark.parametrize("waited_s", [0.1, 1.0, 1.9])
async def test_a_configuration_that_takes_long_to_arrive_is_in_force_in_time(
    autojump_clock: MockClock, site: Site, waited_s: float
) -> None:
    """A watch's time limit must not cut off an answer that is arriving.

    :param waited_s: time for which the watch has waited when the configuration changes
    """
    send = await site.start_front("f")
    site.network.bytes_per_s["f", STORE] = SLOW_LINK
    await trio.sleep(waited_s)
    site.configure(with_routes(2, MANY_ROUTES))
    await trio.sleep(CONFIG_S)
    assert (await send("GET", f"/new/{JOB}")).status == 410


async def test_an_instance_on_a_slow_link_starts_with_a_large_configuration(
    autojump_clock: MockClock, site: Site
) -> None:
    """The time limit of the first read must not cut off an answer that is arriving."""
    site.configure(with_routes(2, MANY_ROUTES))
    site.network.bytes_per_s["f", STORE] = SLOW_LINK
    with trio.fail_after(CONFIG_S):
        send = await site.start_front("f")
    assert (await send("GET", f"/new/{JOB}")).status == 410


async def test_a_configuration_that_is_arriving_survives_a_lost_call(
    autojump_clock: MockClock, site: Site
) -> None:
    """The end of an outage restarts waiting watches, but not one whose answer is arriving."""
    send = await site.start_front("f")
    site.network.bytes_per_s["f", STORE] = SLOW_LINK
    await trio.sleep(0.1)
    site.configure(with_routes(2, MANY_ROUTES))
    await trio.sleep(1.0)
    site.kv.faults = kv.Faults(busy=True)
    assert (await send("GET", f"/q1/{JOB}")).status == 503
    await trio.sleep(0.4)
    site.kv.faults = kv.Faults()
    assert (await send("GET", f"/q1/{JOB}")).status == 410
    await trio.sleep(CONFIG_S - 1.4)
    assert (await send("GET", f"/new/{JOB}")).status == 410


@pytest.mark.parametrize(
    ("method", "path", "key"),
    [
        ("GET", f"/q1/{JOB}", "key-one"),
        ("POST", f"/q1/{JOB}", "key-one"),
        ("GET", f"/new/{JOB}", "key-one"),
        ("GET", f"/q1/{JOB}", "key-three"),
    ],
)
async def test_callers_are_not_answered_by_a_configuration_that_may_have_changed(
    autojump_clock: MockClock, site: Site, method: str, path: str, key: str
) -> None:
    """Neither withdrawn keys and routes nor new ones are answered by the version before.

    The store refuses reads of the configuration alone, and answers all other calls.
    """
    send = await site.start_front("f")

    async def refuse_configuration(req: server.Request) -> server.Response:
        is_refused = "op%2Fconfig" in req.query
        return server.Response(429) if is_refused else await site.kv.handle(req)

    site.network.hosts[STORE] = refuse_configuration
    tenants = [{"name": "one", "apiKeys": ["key-three"]}]
    site.configure({**with_routes(2, 1), "tenants": tenants})
    await trio.sleep(CONFIG_S)
    body = {"spec": "x", "steps": [{"count": 1}]}
    assert (await send(method, path, body, key)).status == 503
    site.network.hosts[STORE] = site.kv.handle
    await trio.sleep(1.0)
    assert (await send("GET", f"/new/{JOB}", None, "key-three")).status == 410


async def test_an_instance_with_a_large_configuration_answers_all_callers_between_changes(
    autojump_clock: MockClock, site: Site
) -> None:
    """The time that a configuration takes to arrive shortens the watches, not the service."""
    site.configure(with_routes(2, MANY_ROUTES))
    site.network.bytes_per_s["f", STORE] = SLOW_LINK
    send = await site.start_front("f")
    await trio.sleep(MOST_CONFIRM_S)
    calls_before = site.kv.calls["GET /kv-watch"]
    for _ in range(100):
        assert (await send("GET", f"/new/{JOB}")).status == 410
        await trio.sleep(0.1)
    assert site.kv.calls["GET /kv-watch"] - calls_before < 50


async def test_a_lost_watch_refuses_no_caller(autojump_clock: MockClock, site: Site) -> None:
    """A connection that goes silent is replaced before the configuration is too old."""
    send = await site.start_front("f")
    await trio.sleep(5.0)
    lost: set[str] = set()

    async def lose_one_watch(req: server.Request) -> server.Response:
        if req.path == "/kv-watch" and not lost:
            lost.add(req.query)
            await trio.sleep_forever()
        return await site.kv.handle(req)

    site.network.hosts[STORE] = lose_one_watch
    for _ in range(60):
        assert (await send("GET", f"/q1/{JOB}")).status == 410
        await trio.sleep(0.1)
    assert lost


async def test_a_suspended_instance_answers_no_caller_before_it_has_asked_for_changes(
    autojump_clock: MockClock, site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A suspended machine's steady clock stands still, and its watch's answer is old."""
    send = await site.start_front("f")
    await trio.sleep(1.0)
    site.network.cut.add(("f", STORE))
    monkeypatch.setattr("bronzequay.clock.boot_s", lambda: trio.current_time() + 10.0)
    assert (await send("GET", f"/q1/{JOB}")).status == 503
    site.network.cut.clear()
    await trio.sleep(5.0)
    assert (await send("GET", f"/q1/{JOB}")).status == 410


async def test_configurations_in_quick_succession_are_in_force_in_time_on_a_slow_link(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against watches that bring every version, and more the longer the last one took."""
    send = await site.start_front("f")
    site.network.bytes_per_s["f", STORE] = SLOW_LINK
    for version in range(2, 20):
        site.configure(with_routes(version, 2000 if version < 19 else 1999))
        await trio.sleep(0.2)
    await trio.sleep(CONFIG_S - 0.2)
    gone = with_routes(18, 2000)["routes"][-2]["prefix"]
    assert (await send("GET", f"{gone}{JOB}")).status == 404
