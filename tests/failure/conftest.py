from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from bench import deployment

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator


@pytest.fixture
def run() -> Iterator[deployment.Deployment]:
    """Yield three entry instances with the platform, workers and executors, all as processes."""
    with deployment.Deployment(site="quispe", entries=3) as run:
        yield run


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=20) as client:
        yield client
