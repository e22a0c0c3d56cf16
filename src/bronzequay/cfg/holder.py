"""Holds the bundle in force on this instance; its version only ever increases."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.cfg import bundle as bundles
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Callable


class AdoptedBundle(msgspec.Struct, frozen=True):
    """A bundle that this instance has adopted.

    :param since_s: time of the adoption, seconds since the Unix epoch
    """

    version: ids.BundleVersion
    text: bytes
    bundle: bundles.Bundle
    rules: model.Rules
    since_s: float


class Holder:
    """Holds the bundle with the highest version that this instance has seen.

    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(self, *, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._in_force: AdoptedBundle | None = None
        self._listeners: list[Callable[[AdoptedBundle], None]] = []

    @property
    def in_force(self) -> AdoptedBundle | None:
        """Return the bundle in force, ``None`` before the first adoption."""
        return self._in_force

    @property
    def version(self) -> ids.BundleVersion:
        """Return the version in force, 0 before the first adoption."""
        return self._in_force.version if self._in_force else ids.BundleVersion(0)

    def rules(self) -> model.Rules | None:
        """Return the scheduling rules in force, ``None`` before the first bundle."""
        return self._in_force.rules if self._in_force else None

    def on_change(self, listener: Callable[[AdoptedBundle], None]) -> None:
        """Register a function to call after each adoption."""
        self._listeners.append(listener)

    def adopt(self, version: ids.BundleVersion, text: bytes) -> bool:
        """Adopt a version if it is higher than the version in force.

        :param version: the version number of the roll-out
        :param text: the bundle's text
        :return: whether it was adopted
        :raises errors.BronzequayError: when the text is not a valid bundle
        """
        if version <= self.version:
            return False
        bundle = bundles.parse(text)
        rules = bundles.to_rules(bundle, version)
        adopted = AdoptedBundle(version, text, bundle, rules, self._wall_clock())
        self._in_force = adopted
        for listener in self._listeners:
            listener(adopted)
        return True


__all__ = ["AdoptedBundle", "Holder"]
