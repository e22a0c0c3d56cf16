"""The bundle in force on this instance; it only ever moves to a higher version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.cfg import bundle as bundles
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Callable


class InForce(msgspec.Struct, frozen=True):
    """A bundle in force."""

    version: ids.BundleVersion
    text: bytes
    bundle: bundles.Bundle
    rules: model.Rules
    since_s: float


class Holder:
    """Keeps the highest version this instance has seen.

    :param wall_clock: seconds since the Unix epoch
    """

    def __init__(self, *, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock
        self._in_force: InForce | None = None
        self._listeners: list[Callable[[InForce], None]] = []

    @property
    def in_force(self) -> InForce | None:
        """Return the bundle in force, ``None`` before the first."""
        return self._in_force

    @property
    def version(self) -> ids.BundleVersion:
        """Return the version in force, 0 before the first."""
        return self._in_force.version if self._in_force else ids.BundleVersion(0)

    def rules(self) -> model.Rules | None:
        """Return the rules in force."""
        return self._in_force.rules if self._in_force else None

    def on_change(self, listener: Callable[[InForce], None]) -> None:
        """Call a function after each adoption."""
        self._listeners.append(listener)

    def adopt(self, version: ids.BundleVersion, text: bytes) -> bool:
        """Put a version in force unless one as high is.

        :param version: the version as rolled out
        :param text: the bundle's text
        :return: whether it was adopted
        :raises errors.BronzequayError: when the text is no valid bundle
        """
        if version <= self.version:
            return False
        bundle = bundles.parse(text)
        rules = bundles.to_rules(bundle, version)
        adopted = InForce(version, text, bundle, rules, self._wall_clock())
        self._in_force = adopted
        for listener in self._listeners:
            listener(adopted)
        return True


__all__ = ["Holder", "InForce"]
