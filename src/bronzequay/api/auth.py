"""Who a caller or operator is, and what the role may do."""

from __future__ import annotations

import base64
import enum
import hashlib
import hmac
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle as bundles

if TYPE_CHECKING:
    from collections.abc import Iterable

BEARER = "Bearer "
BASIC = "Basic "


class Right(enum.Enum):
    """One kind of action."""

    SUBMIT = "submit"
    READ_OWN = "read_own"
    READ_ALL = "read_all"
    CANCEL_OWN = "cancel_own"
    CANCEL_ALL = "cancel_all"
    EDIT_BUNDLE = "edit_bundle"
    SIGN_OFF = "sign_off"
    ROLL_OUT = "roll_out"
    DUMP_STATE = "dump_state"


RIGHTS: dict[bundles.Role, frozenset[Right]] = {
    bundles.Role.CALLER: frozenset({Right.SUBMIT, Right.READ_OWN, Right.CANCEL_OWN}),
    bundles.Role.OPERATOR: frozenset(
        {
            Right.READ_OWN,
            Right.READ_ALL,
            Right.CANCEL_OWN,
            Right.CANCEL_ALL,
            Right.EDIT_BUNDLE,
            Right.ROLL_OUT,
            Right.DUMP_STATE,
        }
    ),
    bundles.Role.REVIEWER: frozenset(
        {Right.READ_OWN, Right.READ_ALL, Right.SIGN_OFF, Right.DUMP_STATE}
    ),
    bundles.Role.ANALYST: frozenset({Right.READ_OWN, Right.READ_ALL}),
}


class Identity(msgspec.Struct, frozen=True):
    """A known principal.

    :param org: the only organisation it may act in, ``None`` for all
    """

    name: str
    role: bundles.Role
    org: ids.OrgId | None
    token_sha256: str


class Registry:
    """Known tokens, by SHA-256 digest.

    :param first: identities that hold before and beside any bundle, by digest
    """

    def __init__(self, *, first: dict[str, Identity]) -> None:
        self._first = first
        self._known = dict(first)

    def replace(self, principals: Iterable[bundles.Principal]) -> None:
        """Take the principals of the bundle in force."""
        self._known = {item.token_sha256: _identity(item) for item in principals} | self._first

    def identify(self, header: str | None) -> Identity:
        """Return who sent a request.

        :param header: value of the ``authorization`` header
        :raises errors.BronzequayError: UNAUTHENTICATED
        """
        digest = hashlib.sha256(_token(header or "").encode()).hexdigest()
        # The look-up goes by digest, so its timing tells nothing of a token.
        found = self._known.get(digest)
        if found is not None and hmac.compare_digest(found.token_sha256, digest):
            return found
        raise _unauthenticated("the token is not known")


def _token(header: str) -> str:
    """Return the token of a header; browsers send it as the password of basic authentication."""
    if header.startswith(BEARER):
        return header.removeprefix(BEARER)
    if not header.startswith(BASIC):
        raise _unauthenticated("a bearer token is required")
    try:
        pair = base64.b64decode(header.removeprefix(BASIC), validate=True).decode()
    except ValueError:
        raise _unauthenticated("the header is not valid") from None
    return pair.partition(":")[2]


def _identity(item: bundles.Principal) -> Identity:
    org = ids.OrgId(item.organisation) if item.organisation is not None else None
    return Identity(item.name, item.role, org, item.token_sha256)


def _unauthenticated(message: str) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.UNAUTHENTICATED, message)


def parse_first(text: str) -> dict[str, Identity]:
    """Parse the first operators from the settings.

    :param text: ``NAME=ROLE:TOKEN`` entries, comma-separated
    :raises errors.BronzequayError: SETTING_INVALID
    """
    found: dict[str, Identity] = {}
    for entry in filter(None, text.split(",")):
        name, _, rest = entry.partition("=")
        role, _, token = rest.partition(":")
        if not name or not token or role not in {item.value for item in bundles.Role}:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_INVALID,
                "must be NAME=ROLE:TOKEN entries, comma-separated",
                field="operator_tokens",
            )
        digest = hashlib.sha256(token.encode()).hexdigest()
        found[digest] = Identity(name, bundles.Role(role), None, digest)
    return found


def require(identity: Identity, right: Right, *, org: ids.OrgId | None = None) -> None:
    """Refuse an action that the role or the organisation does not allow.

    :param org: the organisation acted on, ``None`` when none is
    :raises errors.BronzequayError: FORBIDDEN
    """
    if right not in RIGHTS[identity.role]:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN, f"role {identity.role.value} may not {right.value}"
        )
    if org is not None and identity.org is not None and identity.org != org:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN, f"{identity.name} may act in {identity.org} only"
        )


__all__ = ["RIGHTS", "Identity", "Registry", "Right", "parse_first", "require"]
