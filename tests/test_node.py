"""An instance on the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import node
from bronzequay.cfg import node as node_cfg
from bronzequay.control import term
from bronzequay.platform import settings
from tests.control.site import STORE, Site

if TYPE_CHECKING:
    import pytest
    import trio
    from trio.testing import MockClock

SETTINGS = f"""
node=front-a-1
zone=a
ip=10.0.0.21
listen.front=10.0.0.21:80
listen.ready=10.0.0.21:81
portRange=7000,7015
platform.addr={STORE}
platform.ttlMinMs=1000
limits.cpuShare=1
limits.cores=2
"""


async def test_an_unexpected_error_ends_the_term_and_not_the_instance(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> None:
    site = Site(monkeypatch, nursery)
    site.add_executor(1)
    run_term, runs = term.Term.run, []

    async def fail_first(this: term.Term) -> None:
        runs.append(this.epoch)
        if len(runs) == 1:
            raise ValueError("unexpected")
        await run_term(this)

    monkeypatch.setattr(term.Term, "run", fail_first)
    instance = node.Node(settings.parse(SETTINGS), node_cfg.resolve({}))
    nursery.start_soon(instance._configuration.run)  # without its servers
    nursery.start_soon(instance._run_terms)
    job = site.submit()
    await site.wait_for(job, "completed", timeout_s=10.0)
    assert runs == sorted(set(runs))
    assert len(runs) == 2
    site.check_runs()
