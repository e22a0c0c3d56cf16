"""Configuration bundles: a TOML text, parsed and checked whole."""

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

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Role(enum.Enum):
    """What a principal may do."""

    CALLER = "caller"
    OPERATOR = "operator"
    REVIEWER = "reviewer"
    ANALYST = "analyst"


class Cells(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``count`` cells of ``accelerators`` adjacent accelerators each."""

    accelerators: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One organisation's guarantee and limits."""

    id: Name
    guarantee: tuple[Cells, ...] = ()
    max_queued: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 10_000
    max_caller_queued: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 2_000
    may_borrow: bool = True


class Principal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Someone with a token; the bundle holds only the token's SHA-256 digest in hex."""

    name: Name
    role: Role
    token_sha256: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    organisation: Name | None = None


class Floors(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Share of the fleet that each urgency class keeps under a flood of another."""

    urgent: Share = 0.2
    normal: Share = 0.2
    low: Share = 0.05


class Bundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A checked bundle."""

    format: int
    organisation: tuple[Organisation, ...]
    principal: tuple[Principal, ...] = ()
    floors: Floors = Floors()


def digest(text: bytes) -> str:
    """Return the SHA-256 digest of a bundle's text, in hex."""
    return hashlib.sha256(text).hexdigest()


def parse(text: bytes) -> Bundle:
    """Parse and check a bundle.

    :param text: TOML in UTF-8
    :return: the checked bundle
    :raises errors.BronzequayError: BUNDLE_INVALID with the line or field at fault
    """
    if len(text) > MAX_BUNDLE_BYTES:
        raise errors.BronzequayError(
            codes.ResultCode.VALUE_TOO_LARGE, f"a bundle is at most {MAX_BUNDLE_BYTES} bytes"
        )
    try:
        raw = tomllib.loads(text.decode())
        bundle = msgspec.convert(raw, Bundle, strict=True)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, msgspec.ValidationError) as exc:
        raise _invalid(str(exc)) from None
    _check(bundle)
    return bundle


def _invalid(message: str, field: str | None = None) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.BUNDLE_INVALID, message, field=field)


def _check(bundle: Bundle) -> None:
    if bundle.format != FORMAT:
        raise _invalid(f"format {bundle.format} is not supported, only {FORMAT}", "format")
    _check_unique("organisation", [org.id for org in bundle.organisation])
    _check_unique("principal", [item.name for item in bundle.principal])
    _check_unique("principal.token_sha256", [item.token_sha256 for item in bundle.principal])
    known = {org.id for org in bundle.organisation}
    for item in bundle.principal:
        if item.role is Role.CALLER and item.organisation is None:
            raise _invalid("a caller belongs to an organisation", f"principal {item.name}")
        if item.organisation is not None and item.organisation not in known:
            raise _invalid(f"unknown organisation {item.organisation}", f"principal {item.name}")
    floors = bundle.floors
    if floors.urgent + floors.normal + floors.low > 1:
        raise _invalid("the floors sum to more than 1", "floors")


def _check_unique(field: str, values: list[str]) -> None:
    seen: set[str] = set()
    for value in values:
        if value in seen:
            raise _invalid(f"{value} stands twice", field)
        seen.add(value)


def to_rules(bundle: Bundle, version: ids.BundleVersion) -> model.Rules:
    """Return the part of a bundle that scheduling depends on.

    :param bundle: a checked bundle
    :param version: the version it is in force as
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
