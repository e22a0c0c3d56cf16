from __future__ import annotations

import httpx
import pytest

from bronzequay import ids
from bronzequay.fakes import platform, serve
from bronzequay.store import client


@pytest.fixture
def stand() -> platform.Fake:
    app = platform.make_app()
    stand: platform.Fake = app.extensions["stand"]
    return stand


@pytest.fixture
def store(stand: platform.Fake) -> client.Store:
    http = httpx.AsyncClient(transport=serve.LocalTransport(stand.app))
    return client.Store(base_url="http://platform", instance=ids.InstanceId("e1"), http=http)
