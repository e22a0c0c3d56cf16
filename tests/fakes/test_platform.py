from __future__ import annotations

import httpx
import trio

from bronzequay.fakes import platform, serve


async def test_serves_on_the_port_it_reports() -> None:
    async with trio.open_nursery() as nursery:

        async def start(task_status: trio.TaskStatus[int]) -> None:
            await serve.serve(
                platform.make_app(), host="127.0.0.1", port=0, task_status=task_status
            )

        port = await nursery.start(start)
        async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as http:
            put = await http.put("/v1/kv/a/b?rev=0", content=b"one")
            got = await http.get("/v1/kv/a/b")
        nursery.cancel_scope.cancel()
    assert (put.status_code, got.content, got.headers["x-revision"]) == (200, b"one", "1")
