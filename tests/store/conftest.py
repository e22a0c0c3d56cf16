from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest

from bronzequay import ids
from bronzequay.fakes import platform, serve
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

BASE_URL = "http://platform"


@pytest.fixture
def stand() -> platform.Fake:
    app = platform.make_app()
    stand: platform.Fake = app.extensions["stand"]
    return stand


@pytest.fixture
def http(stand: platform.Fake) -> httpx.AsyncClient:
    return httpx.AsyncClient(transport=serve.LocalTransport(stand.app))


@pytest.fixture
def new_store(http: httpx.AsyncClient) -> Callable[[str], client.Store]:
    def make_store(instance: str) -> client.Store:
        return client.Store(base_url=BASE_URL, instance=ids.InstanceId(instance), http=http)

    return make_store


@pytest.fixture
def store(new_store: Callable[[str], client.Store]) -> client.Store:
    return new_store("entry-1")
