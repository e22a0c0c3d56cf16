"""Authentication of callers and operators, and the rights of their roles."""

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
    """An action that a role may permit."""

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
    """An authenticated principal.

    :param org: the only organisation it may act in, ``None`` for all organisations
    """

    name: str
    role: bundles.Role
    org: ids.OrgId | None
    token_sha256: str


class Registry:
    """Maps tokens to identities by the tokens' SHA-256 digests.

    :param configured: identities from the settings, by digest; valid before the first bundle and
        alongside every bundle
    """

    def __init__(self, *, configured: dict[str, Identity]) -> None:
        self._configured = configured
        self._by_digest = dict(configured)

    def replace(self, principals: Iterable[bundles.Principal]) -> None:
        """Replace the bundle's identities by those of a newly adopted bundle."""
        self._by_digest = {
            principal.token_sha256: _to_identity(principal) for principal in principals
        } | self._configured

    def identify(self, header: str | None) -> Identity:
        """Return the identity of a request's sender.

        :param header: value of the ``authorization`` header
        :raises errors.BronzequayError: UNAUTHENTICATED
        """
        digest = hashlib.sha256(_token(header or "").encode()).hexdigest()
        # The look-up is by digest, so its timing reveals nothing about a token.
        identity = self._by_digest.get(digest)
        if identity is not None and hmac.compare_digest(identity.token_sha256, digest):
            return identity
        raise _unauthenticated("the token is unknown")


def _token(header: str) -> str:
    """Return the token of a header.

    Browsers send the token as the password of HTTP basic authentication.
    """
    if header.startswith(BEARER):
        return header.removeprefix(BEARER)
    if not header.startswith(BASIC):
        raise _unauthenticated("a bearer token is required")
    try:
        credentials = base64.b64decode(header.removeprefix(BASIC), validate=True).decode()
    except ValueError:
        raise _unauthenticated("the basic authentication header cannot be decoded") from None
    return credentials.partition(":")[2]


def _to_identity(principal: bundles.Principal) -> Identity:
    org = ids.OrgId(principal.organisation) if principal.organisation is not None else None
    return Identity(principal.name, principal.role, org, principal.token_sha256)


def _unauthenticated(message: str) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.UNAUTHENTICATED, message)


def parse_operator_tokens(text: str) -> dict[str, Identity]:
    """Parse the operators that the settings name.

    :param text: ``NAME=ROLE:TOKEN`` entries, comma-separated
    :raises errors.BronzequayError: SETTING_INVALID
    """
    identities: dict[str, Identity] = {}
    for entry in filter(None, text.split(",")):
        name, _, credentials = entry.partition("=")
        role, _, token = credentials.partition(":")
        if not name or not token or role not in {known.value for known in bundles.Role}:
            raise errors.BronzequayError(
                codes.ResultCode.SETTING_INVALID,
                "must be NAME=ROLE:TOKEN entries, comma-separated",
                field="operator_tokens",
            )
        digest = hashlib.sha256(token.encode()).hexdigest()
        identities[digest] = Identity(name, bundles.Role(role), None, digest)
    return identities


def require(identity: Identity, right: Right, *, org: ids.OrgId | None = None) -> None:
    """Check that an identity may perform an action.

    :param org: the organisation acted on, ``None`` when the action concerns none
    :raises errors.BronzequayError: FORBIDDEN
    """
    if right not in RIGHTS[identity.role]:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN, f"role {identity.role.value} lacks the right {right.value}"
        )
    if org is not None and identity.org is not None and identity.org != org:
        raise errors.BronzequayError(
            codes.ResultCode.FORBIDDEN,
            f"{identity.name} may act in organisation {identity.org} only",
        )


__all__ = ["RIGHTS", "Identity", "Registry", "Right", "parse_operator_tokens", "require"]
