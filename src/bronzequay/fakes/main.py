"""The command ``bronzequay-fake``, which runs a stand-in in a separate process."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Annotated

import cappa
import httpx
import trio

from bronzequay.fakes import executor, platform, serve, sites, worker

if TYPE_CHECKING:
    from collections.abc import Iterable

    import quart_trio

HOST = "127.0.0.1"
REGISTER_RETRY_S = 0.2
REGISTER_ATTEMPTS = 100

Port = Annotated[int, cappa.Arg(long=True, help="TCP port to listen on")]
PlatformUrl = Annotated[str, cappa.Arg(long=True, help="address of the platform stand-in")]
Site = Annotated[str, cappa.Arg(long=True, help="deployment: quispe or trentmere")]


class InstanceEntry(dict[str, str]):
    """An entry of the platform's instance list."""


@cappa.command(name="platform", description="The platform's key-value service and instance list.")
@dataclasses.dataclass
class Platform:
    """Options of the platform stand-in."""

    port: Port

    def __call__(self) -> None:
        """Serve until terminated."""
        trio.run(_serve, platform.make_app(), self.port, (), "")


@cappa.command(name="workers", description="All workers of a deployment.")
@dataclasses.dataclass
class Workers:
    """Options of the worker stand-in."""

    port: Port
    platform_url: PlatformUrl
    site: Site

    def __call__(self) -> None:
        """Serve until terminated."""
        specs = sites.SITES[self.site].workers()
        entries = [
            InstanceEntry(
                id=spec.worker,
                kind="worker",
                address=f"http://{HOST}:{self.port}/w/{spec.worker}",
                data_centre=spec.data_centre,
                state="live",
            )
            for spec in specs
        ]
        trio.run(_serve, worker.make_app(specs), self.port, entries, self.platform_url)


@cappa.command(name="executors", description="All executors of a deployment's service.")
@dataclasses.dataclass
class Executors:
    """Options of the executor stand-in."""

    port: Port
    platform_url: PlatformUrl
    site: Site

    def __call__(self) -> None:
        """Serve until terminated."""
        site = sites.SITES[self.site]
        names = site.executors()
        centre = site.data_centres[0]
        app = executor.make_app(names, service=site.service, data_centre=centre)
        entries = [
            InstanceEntry(
                id=name,
                kind="executor",
                address=f"http://{HOST}:{self.port}/e/{name}",
                data_centre=centre,
                state="live",
            )
            for name in names
        ]
        trio.run(_serve, app, self.port, entries, self.platform_url)


@cappa.command(name="list-entry", description="Put an entry instance on the platform's list.")
@dataclasses.dataclass
class ListEntry:
    """Options of the list entry."""

    instance: Annotated[str, cappa.Arg(long=True, help="name of the instance")]
    address: Annotated[str, cappa.Arg(long=True, help="its HTTP address")]
    platform_url: PlatformUrl
    data_centre: Annotated[str, cappa.Arg(long=True, help="its data centre")] = "local"

    def __call__(self) -> None:
        """Write the entry and exit."""
        entry = InstanceEntry(
            id=self.instance,
            kind="entry",
            address=self.address,
            data_centre=self.data_centre,
            state="live",
        )
        trio.run(_register, self.platform_url, [entry])


@cappa.command(name="bronzequay-fake", description="Stand-ins for tests and the demo.")
@dataclasses.dataclass
class Fake:
    """The stand-in to run."""

    command: cappa.Subcommands[Platform | Workers | Executors | ListEntry]


async def _serve(
    app: quart_trio.QuartTrio, port: int, entries: Iterable[InstanceEntry], platform_url: str
) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(_start_server, app, port)
        if platform_url:
            await _register(platform_url, entries)


async def _start_server(
    app: quart_trio.QuartTrio,
    port: int,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    await serve.serve(app, host=HOST, port=port, task_status=task_status)


async def _register(platform_url: str, entries: Iterable[InstanceEntry]) -> None:
    async with httpx.AsyncClient() as http:
        for entry in entries:
            await _register_entry(http, f"{platform_url}/v1/instances/{entry['id']}", entry)


async def _register_entry(http: httpx.AsyncClient, url: str, entry: InstanceEntry) -> None:
    for _ in range(REGISTER_ATTEMPTS):
        try:
            answer = await http.put(url, json=entry)
        except httpx.TransportError:
            await trio.sleep(REGISTER_RETRY_S)
        else:
            answer.raise_for_status()
            return
    raise SystemExit(f"registration failed: no answer from {url} in {REGISTER_ATTEMPTS} attempts")


def main() -> None:
    """Run ``bronzequay-fake``."""
    cappa.invoke(Fake, completion=False)


__all__ = ["main"]

if __name__ == "__main__":
    main()
