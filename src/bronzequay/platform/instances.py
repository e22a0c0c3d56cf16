"""Query to another instance on its own port: whether it still holds a term as scheduler."""

from __future__ import annotations

import msgspec

from bronzequay import codec, ids
from bronzequay.net import address as addresses
from bronzequay.net import client

TERMS = "/v1/terms/"


class TermState(msgspec.Struct, frozen=True, rename="camel"):
    """Answer of an instance about one term.

    :param is_held: whether this process holds the term and may send orders in it
    """

    instance: ids.InstanceId
    epoch: ids.Epoch
    is_held: bool


async def query_term(address: str, epoch: ids.Epoch, *, timeout_s: float) -> TermState | None:
    """Ask an instance about a term; return None without a valid answer.

    :param address: ``IP:PORT`` of the instance's own interface
    """
    if not addresses.is_valid(address):
        return None
    http_client = client.Client(address, max_response_bytes=client.MAX_SHORT_RESPONSE_BYTES)
    try:
        resp = await http_client.request("GET", f"{TERMS}{epoch}", timeout_s=timeout_s)
    except (client.NotSentError, client.NoResponseError):
        return None
    finally:
        http_client.close()
    if resp.status != 200:  # noqa: PLR2004
        return None
    try:
        return codec.from_json(resp.body, TermState)
    except msgspec.DecodeError:
        return None


__all__ = ["TERMS", "TermState", "query_term"]
