"""Lifecycle of a bundle in the platform's service: draft, review, sign-off, roll-out, history.

Keys: ``bundle/body/DIGEST`` holds a bundle's text, ``bundle/draft/DIGEST`` its review state,
``bundle/head`` the version in force and the latest history, ``bundle/history/BLOCK`` older
history in blocks of ``BLOCK_VERSIONS`` versions.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle as bundles
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

HEAD_KEY = "bundle/head"
BLOCK_VERSIONS = 8
"""Versions per history block; the head holds at most twice as many, as every instance polls it."""
MAX_HISTORY = 1000
ABSENT = ids.Revision(0)


class Stage(enum.Enum):
    """Review state of a draft."""

    DRAFT = "draft"
    IN_REVIEW = "in_review"
    SIGNED_OFF = "signed_off"


class Draft(msgspec.Struct, frozen=True):
    """A submitted bundle and its review state.

    :param at_s: time of submission, seconds since the Unix epoch
    """

    digest: str
    author: str
    stage: Stage
    at_s: float
    signed_by: str | None = None


class HeadEntry(msgspec.Struct, frozen=True):
    """One rolled-out version.

    :param at_s: time of the roll-out, seconds since the Unix epoch
    """

    version: ids.BundleVersion
    digest: str
    author: str
    signed_by: str
    at_s: float


class Head(msgspec.Struct, frozen=True):
    """The latest rolled-out versions, newest last."""

    entries: tuple[HeadEntry, ...]

    @property
    def current(self) -> HeadEntry:
        """Return the version in force."""
        return self.entries[-1]


class Store(Protocol):
    """The part of the store client that this module uses."""

    async def get(self, key: str, *, purpose: client.Purpose) -> client.Entry | None:
        """Read one key."""

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: client.Purpose
    ) -> ids.Revision:
        """Compare and swap one key."""


def body_key(digest: str) -> str:
    """Return the key of a bundle's text."""
    return f"bundle/body/{digest}"


def draft_key(digest: str) -> str:
    """Return the key of a draft."""
    return f"bundle/draft/{digest}"


def block_key(block: int) -> str:
    """Return the key of a block of history."""
    return f"bundle/history/{block:08d}"


async def submit_draft(
    store: Store, text: bytes, *, author: str, wall_clock: Callable[[], float]
) -> Draft:
    """Validate a bundle and store it as a draft; submitting the same text again keeps the draft.

    :param text: TOML in UTF-8
    :param author: the operator's name
    :param wall_clock: returns seconds since the Unix epoch
    :return: the stored draft
    :raises errors.BronzequayError: when the bundle is invalid or the store fails
    """
    bundles.parse(text)
    digest = bundles.digest(text)
    await _put_if_absent(store, body_key(digest), text)
    draft = Draft(digest=digest, author=author, stage=Stage.DRAFT, at_s=wall_clock())
    await _put_if_absent(store, draft_key(digest), msgspec.json.encode(draft))
    stored, _ = await read_draft(store, digest)
    return stored


async def _put_if_absent(store: Store, key: str, value: bytes) -> None:
    try:
        await store.put(key, value, rev=ABSENT, purpose=client.Purpose.BUNDLE)
    except errors.BronzequayError as exc:
        if exc.code is not codes.ResultCode.STORE_CONFLICT:
            raise


async def read_draft(store: Store, digest: str) -> tuple[Draft, ids.Revision]:
    """Return a draft and its revision.

    :raises errors.BronzequayError: BUNDLE_UNKNOWN
    """
    entry = await store.get(draft_key(digest), purpose=client.Purpose.BUNDLE)
    if entry is None:
        raise errors.BronzequayError(codes.ResultCode.BUNDLE_UNKNOWN, f"unknown draft {digest}")
    return msgspec.json.decode(entry.value, type=Draft), entry.rev


async def read_body(store: Store, digest: str) -> bytes:
    """Return a bundle's text.

    :raises errors.BronzequayError: BUNDLE_UNKNOWN
    """
    entry = await store.get(body_key(digest), purpose=client.Purpose.BUNDLE)
    if entry is None:
        raise errors.BronzequayError(codes.ResultCode.BUNDLE_UNKNOWN, f"unknown bundle {digest}")
    return entry.value


async def request_review(store: Store, digest: str, *, operator: str) -> Draft:
    """Request a review of a draft; only its author may do so.

    :raises errors.BronzequayError: FORBIDDEN, BUNDLE_UNKNOWN
    """
    draft, rev = await read_draft(store, digest)
    if draft.author != operator:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN, "only the author of a draft may request its review"
        )
    if draft.stage is not Stage.DRAFT:
        return draft
    return await _replace(store, msgspec.structs.replace(draft, stage=Stage.IN_REVIEW), rev)


async def sign_off(store: Store, digest: str, *, operator: str) -> Draft:
    """Approve a draft in review; its author may not do so.

    :raises errors.BronzequayError: FORBIDDEN, SIGN_OFF_REQUIRED, BUNDLE_UNKNOWN
    """
    draft, rev = await read_draft(store, digest)
    if draft.author == operator:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN, "the author of a draft may not sign it off"
        )
    if draft.stage is Stage.DRAFT:
        raise errors.BronzequayError(
            codes.ResultCode.SIGN_OFF_REQUIRED, "the author has not requested a review"
        )
    if draft.stage is Stage.SIGNED_OFF:
        return draft
    signed_draft = msgspec.structs.replace(draft, stage=Stage.SIGNED_OFF, signed_by=operator)
    return await _replace(store, signed_draft, rev)


async def _replace(store: Store, draft: Draft, rev: ids.Revision) -> Draft:
    value = msgspec.json.encode(draft)
    await store.put(draft_key(draft.digest), value, rev=rev, purpose=client.Purpose.BUNDLE)
    return draft


async def read_head(store: Store) -> tuple[Head | None, ids.Revision]:
    """Return the head, ``None`` before the first roll-out, and its revision."""
    entry = await store.get(HEAD_KEY, purpose=client.Purpose.BUNDLE)
    if entry is None:
        return None, ABSENT
    return msgspec.json.decode(entry.value, type=Head), entry.rev


async def roll_out(
    store: Store,
    digest: str,
    *,
    expected: ids.BundleVersion,
    wall_clock: Callable[[], float],
) -> HeadEntry:
    """Put a signed-off draft in force.

    :param digest: digest of the draft
    :param expected: version that the operator expects to be in force, 0 before the first
        roll-out
    :param wall_clock: returns seconds since the Unix epoch
    :return: the new version
    :raises errors.BronzequayError: BUNDLE_CONFLICT when another version is in force,
        SIGN_OFF_REQUIRED, BUNDLE_UNKNOWN
    """
    draft, _ = await read_draft(store, digest)
    if draft.stage is not Stage.SIGNED_OFF or draft.signed_by is None:
        raise errors.BronzequayError(
            codes.ResultCode.SIGN_OFF_REQUIRED, "the draft is not signed off"
        )
    head, rev = await read_head(store)
    current = head.current.version if head else ids.BundleVersion(0)
    if current != expected:
        raise _conflict(expected, current)
    entry = HeadEntry(
        version=ids.BundleVersion(current + 1),
        digest=digest,
        author=draft.author,
        signed_by=draft.signed_by,
        at_s=wall_clock(),
    )
    entries = await _move_oldest_block(store, head.entries if head else ())
    value = msgspec.json.encode(Head(entries=(*entries, entry)))
    try:
        await store.put(HEAD_KEY, value, rev=rev, purpose=client.Purpose.BUNDLE)
    except errors.BronzequayError as exc:
        if exc.code is codes.ResultCode.STORE_CONFLICT:
            raise _conflict(expected, None) from None
        raise
    return entry


def _conflict(
    expected: ids.BundleVersion, current: ids.BundleVersion | None
) -> errors.BronzequayError:
    in_force = "another version" if current is None else f"version {current}"
    return errors.BronzequayError(
        codes.ResultCode.BUNDLE_CONFLICT, f"expected version {expected}, but {in_force} is in force"
    )


async def _move_oldest_block(store: Store, entries: tuple[HeadEntry, ...]) -> tuple[HeadEntry, ...]:
    """Move the oldest block from a full head to the history; return the entries left."""
    if len(entries) < 2 * BLOCK_VERSIONS:
        return entries
    oldest = entries[:BLOCK_VERSIONS]
    key = block_key(oldest[0].version // BLOCK_VERSIONS)
    await _put_if_absent(store, key, msgspec.json.encode(oldest))
    return entries[BLOCK_VERSIONS:]


async def read_history(store: Store, *, limit: int = MAX_HISTORY) -> tuple[HeadEntry, ...]:
    """Return the latest rolled-out versions, oldest first.

    :param limit: maximum number of versions
    """
    head, _ = await read_head(store)
    if head is None:
        return ()
    versions = list(head.entries)
    block = head.entries[0].version // BLOCK_VERSIONS
    while block and len(versions) < limit:
        block -= 1
        entry = await store.get(block_key(block), purpose=client.Purpose.BUNDLE)
        if entry is not None:
            versions = [*msgspec.json.decode(entry.value, type=tuple[HeadEntry, ...]), *versions]
    return tuple(versions[-limit:])


__all__ = [
    "BLOCK_VERSIONS",
    "HEAD_KEY",
    "MAX_HISTORY",
    "Draft",
    "Head",
    "HeadEntry",
    "Stage",
    "Store",
    "block_key",
    "body_key",
    "draft_key",
    "read_body",
    "read_draft",
    "read_head",
    "read_history",
    "request_review",
    "roll_out",
    "sign_off",
    "submit_draft",
]
