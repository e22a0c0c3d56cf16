"""Configuration bundles: parses and validates their TOML text."""

from __future__ import annotations

import enum
import hashlib
import tomllib
from typing import Annotated

import msgspec

from bronzequay import codes, errors, ids
from bronzequay.policy import model

FORMAT = 1
MAX_BUNDLE_BYTES = 1_000_000 - 4_096

Identifier = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Role(enum.Enum):
    """Role of a principal, which determines its rights."""

    CALLER = "caller"
    OPERATOR = "operator"
    REVIEWER = "reviewer"
    ANALYST = "analyst"


class Cells(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of a guarantee: ``count`` cells of ``accelerators`` adjacent accelerators each."""

    accelerators: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Guarantee and queue limits of one organisation."""

    id: Identifier
    guarantee: tuple[Cells, ...] = ()
    max_queued: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000
    max_caller_queued: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 2_000
    may_borrow: bool = True


class Principal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Holder of a token; the bundle contains only the token's SHA-256 digest, in hex."""

    name: Identifier
    role: Role
    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    organisation: Identifier | None = None


class Floors(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Minimum share of the fleet for each urgency class while another class floods it."""

    urgent: Share = 0.2
    normal: Share = 0.2
    low: Share = 0.05


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A valid bundle."""

    format: int
    organisation: tuple[Organisation, ...]
    principal: tuple[Principal, ...] = ()
    floors: Floors = Floors()


def digest(text: bytes) -> str:
    """Return the SHA-256 digest of a bundle's text, in hex."""
    return hashlib.sha256(text).hexdigest()


def parse(text: bytes) -> Bundle:
    """Parse and validate a bundle.

    :param text: TOML in UTF-8
    :return: the valid bundle
    :raises errors.BronzequayError: VALUE_TOO_LARGE, or BUNDLE_INVALID with the invalid line or
        field
    """
    if len(text) > MAX_BUNDLE_BYTES:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_TOO_LARGE, f"the bundle is larger than {MAX_BUNDLE_BYTES} bytes"
        )
    try:
        raw = tomllib.loads(text.decode())
        bundle = msgspec.convert(raw, Bundle, strict=True)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as exc:
        raise _invalid(str(exc)) from None
    _validate(bundle)
    return bundle


def _invalid(message: str, field: str | None = None) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.BUNDLE_INVALID, message, field=field)


def _validate(bundle: Bundle) -> None:
    if bundle.format != FORMAT:
        raise _invalid(f"format {bundle.format} is not supported, only {FORMAT}", "format")
    _check_unique("organisation", [org.id for org in bundle.organisation])
    _check_unique("principal", [principal.name for principal in bundle.principal])
    _check_unique(
        "principal.token_sha256", [principal.token_sha256 for principal in bundle.principal]
    )
    known = {org.id for org in bundle.organisation}
    for principal in bundle.principal:
        if principal.role is Role.CALLER and principal.organisation is None:
            raise _invalid(
                "a principal with the role caller needs an organisation",
                f"principal {principal.name}",
            )
        if principal.organisation is not None and principal.organisation not in known:
            raise _invalid(
                f"unknown organisation {principal.organisation}", f"principal {principal.name}"
            )
    floors = bundle.floors
    if floors.urgent + floors.normal + floors.low > 1:
        raise _invalid("the floors sum to more than 1", "floors")


def _check_unique(field: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise _invalid(f"{value} is listed twice", field)
        seen.add(value)


def to_rules(bundle: Bundle, version: ids.BundleVersion) -> model.Rules:
    """Return the part of a bundle that the scheduling policy depends on.

    :param bundle: a valid bundle
    :param version: the version under which the bundle is rolled out
    """
    orgs = {
        ids.OrgId(org.id): model.OrgRules(
            guarantee=tuple(
                model.Shape(cells.accelerators, cells.count) for cells in org.guarantee
            ),
            max_queued=org.max_queued,
            max_caller_queued=org.max_caller_queued,
            may_borrow=org.may_borrow,
        )
        for org in bundle.organisation
    }
    floors = {
        model.Urgency.URGENT: bundle.floors.urgent,
        model.Urgency.NORMAL: bundle.floors.normal,
        model.Urgency.LOW: bundle.floors.low,
    }
    return model.Rules(version=version, orgs=orgs, urgency_floors=floors)


__all__ = [
    "FORMAT",
    "Bundle",
    "Cells",
    "Floors",
    "Organisation",
    "Principal",
    "Role",
    "digest",
    "parse",
    "to_rules",
]
