from __future__ import annotations

import httpx
import pytest

from bronzequay import ids
from bronzequay.fakes import platform, serve
from bronzequay.store import client

BASE_URL = "http://platform"


@pytest.fixture
def stand() -> platform.Stand:
    app = platform.make_app()
    stand: platform.Stand = app.extensions["stand"]
    return stand


@pytest.fixture
def http(stand: platform.Stand) -> httpx.AsyncClient:
    return httpx.AsyncClient(transport=serve.LocalTransport(stand.app))


@pytest.fixture
def store(http: httpx.AsyncClient) -> client.Store:
    return client.Store(base_url=BASE_URL, instance=ids.InstanceId("entry-1"), http=http)
