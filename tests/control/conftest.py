"""Fixture: an in-memory site whose clock jumps to the next event."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from tests.control.site import Site

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import trio.testing


@pytest.fixture
async def site(
    autojump_clock: trio.testing.MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> AsyncIterator[Site]:
    """Yield a site without executors or instances."""
    new_site = Site(monkeypatch, nursery)
    yield new_site
    nursery.cancel_scope.cancel()
